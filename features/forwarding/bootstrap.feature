Feature: A fresh balancer gets routes and back ends from a peer in its hall, else from the store

  Scenario: A balancer restarted in a running fleet makes no call to the store
    Given a simulated fleet of 30 balancers in steady state
    When 5 of its balancers that do not read the store are restarted one after the other
    Then each of them was ready within 0.1 seconds without a call to the store

  Scenario: Any number of balancers restarted at once are ready soon, however few peers are left
    Then bootstrap property: in a fleet of any size, any restarted balancers are ready within half a second

  Scenario: A whole fleet restarted at once is delayed only briefly by the search for peers
    Given a simulated fleet of 60 balancers in steady state
    When all of its balancers are restarted at once
    Then each of them was ready within 0.25 seconds

  Scenario: Balancers that the store refuses become ready from peers
    Given a simulated fleet of 30 balancers in steady state
    And the store refuses the calls of a third of the fleet
    When a third of its balancers, all seeds among them, are restarted at once
    Then each of them was ready within 0.9 seconds

  Scenario: A stale snapshot from a peer is applied, and the store is read too
    Given a fresh forwarding node that has found a peer in its hall
    When that peer sends a snapshot that the store confirmed 4 seconds ago
    Then forwarding is ready and reads the store at once

  Scenario: A busy peer does not delay the read of the store
    Given a fresh forwarding node that has found a peer in its hall
    When that peer refuses the snapshot request
    Then forwarding reads the store at once

  Scenario: A fresh balancer contacts few peers
    Then bootstrap property: a fresh balancer contacts at most six peers before it reads the store

  Scenario: After a restart of all processes, open flows wait for one read only
    Given a forwarding node that has just started and receives no heartbeat
    Then forwarding reads back ends within 0.02 seconds and routes within 0.05 seconds
    And forwarding forwards open flows as soon as the back ends are known
