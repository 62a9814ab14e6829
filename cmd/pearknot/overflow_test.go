package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Clients hold all connections that a node accepts, by requests whose answers take long or that they do not read. Other clients'
// requests, on new connections, get an answer in their time, if only a rejection.
func TestRequestsThatWaitForAConnectionAreAnsweredInTime(t *testing.T) {
	const fewDescriptors = 256
	for _, kind := range crowdKinds() {
		switch kind.name {
		case "wait for answers with bodies sent", "read nothing of long answers", "read long answers slowly":
		default:
			continue
		}
		t.Run(kind.name, func(t *testing.T) {
			node := startCrowdNodeWith(t, 192, fewDescriptors, nil)
			crowd := &crowd{dial: node.dial, kinds: []crowdKind{kind}, size: crowdSize}
			defer crowd.start()()
			others := node.sendBeside(2 * otherTTL)
			t.Logf("others: %v", others)
			for _, other := range others {
				assert.Less(t, other.elapsed, otherTTL+answerSlack)
				assert.NotZero(t, other.status)
			}
			assert.False(t, node.log.hasEnded())
		})
	}
}
