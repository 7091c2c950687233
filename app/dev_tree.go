package app

import "text/template"

// devTree is the template of the settings tree of dev.
var devTree = template.Must(template.New("tree").Parse(`fleet:
  models:
    assist: {version: "1", weights: 16GB, kv_per_token: 1KB}
  classes:
    desk: {priority: 0, ttft: 1s, tbt: 200ms}
    screening: {priority: 0, ttft: 1s, tbt: 200ms, once: true, claim_group: licence}
    review: {priority: 2, ttft: 30s, tbt: 500ms, keep_when_gone: true}
  customers:
    studio:
      home: dev
      tokens:
        - {sha256: {{.Desk}}, class: desk}
        - {sha256: {{.Screen}}, class: screening}
        - {sha256: {{.Review}}, class: review}
  services:
    licence:
      once: [/checkout]
      timeout: 5s
      claim_lifetime: 1h
      claim_group:
        dev: [broker-1, broker-2, broker-3]
  sites:
    dev:
      zone: dev
      pools:
        prefill:
          role: prefill
          slots: 8
          models: {assist: {}}
          servers:
            prefill-1: {agent: "{{index .Agents "prefill-1"}}"}
            prefill-2: {agent: "{{index .Agents "prefill-2"}}"}
        decode:
          role: decode
          slots: 16
          models: {assist: {}}
          servers:
            decode-1: {agent: "{{index .Agents "decode-1"}}"}
            decode-2: {agent: "{{index .Agents "decode-2"}}"}
        brokers:
          role: service
          service: licence
          servers:
            broker-1: {agent: "{{index .Agents "broker-1"}}"}
            broker-2: {agent: "{{index .Agents "broker-2"}}"}
            broker-3: {agent: "{{index .Agents "broker-3"}}"}
`))

// devValues holds the values of devTree.
type devValues struct {
	// Desk, Review and Screen are the hashes of the tokens.
	Desk, Review, Screen string
	// Agents holds the address of the agent of each server.
	Agents map[string]string
}
