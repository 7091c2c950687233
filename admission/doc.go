// Package admission keeps the requests that wait at an entry and decides which
// goes next and which can't meet its target any more.
//
// Order: the priority of the class first. Within a priority each customer has
// a fair share of the work, and within a customer the earliest deadline goes
// first. When a customer's queue can't all be done in time, the largest
// requests are refused first: dropping the largest so far whenever one would
// be late leaves the greatest number in time on one machine (J. M. Moore,
// "An n job, one machine sequencing algorithm for minimizing the number of
// late jobs", Management Science 15, 1968).
package admission
