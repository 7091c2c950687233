// Package admission queues the requests that wait at an entry. It determines
// which request is served next and which can no longer meet its target.
//
// Requests are ordered by the priority of their class. Within a priority,
// customers are served by weighted fair queueing; within a customer, requests
// are served earliest deadline first. If a customer's queue can't be served in
// time, its largest requests are dropped first: dropping the largest one so far
// whenever one would be late maximizes the number in time on one machine (J. M.
// Moore, "An n job, one machine sequencing algorithm for minimizing the number
// of late jobs", Management Science 15, 1968).
package admission
