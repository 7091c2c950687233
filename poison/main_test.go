package poison

import _ "github.com/ledgepin/ledgepin/internal/seeded"
