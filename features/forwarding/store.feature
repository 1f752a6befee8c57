Feature: Forwarding follows the store's content, whatever the store answers

  Scenario: The route version never decreases
    Then forwarding property: the route version in force never decreases, in any order of answers

  Scenario: A change made while watches were down is found by the next read
    Given a forwarding node with routes and back ends
    When the watches of forwarding fail and new watches are not answered
    Then forwarding reads everything again at once, and once more shortly after

  Scenario: After any failure everything is read before the next watch
    Then forwarding property: after a failed call a read is answered before the next watch is issued

  Scenario: A failing store is called at a bounded rate
    Then forwarding property: calls to a failing store stay below three per second for each subject

  Scenario: Newer routes are requested from the peer that has them, then read from the store if no peer answers
    Given a forwarding node with routes and back ends
    And three readers that hold no newer content
    When forwarding receives a heartbeat of a peer with newer routes
    Then forwarding requests the routes from that peer within a fifth of a second
    And forwarding reads the routes from the store within a second if no peer answers

  Scenario: A fresh balancer gets routes and back ends from a peer while the store is silent
    Given a fresh forwarding node whose store is silent, beside a peer in its hall
    When forwarding receives a snapshot from a peer
    Then forwarding is ready and forwards to back ends that left the list

  Scenario: A fresh balancer that the store refuses requests a snapshot from a peer at once
    Given a fresh forwarding node beside a peer in its hall
    When the store refuses the first reads of forwarding
    Then forwarding requests a snapshot from the peer within 0.12 seconds

  Scenario: A fresh balancer that the store refuses does not wait long for a peer in its hall
    Given a fresh forwarding node beside a peer in another hall
    When the store refuses the first reads of forwarding
    Then forwarding requests a snapshot from the peer within 0.4 seconds

  Scenario: A first list that may be stale is confirmed soon
    Given a fresh forwarding node whose store is silent
    Then forwarding accepts a stale list first and reads it again within three seconds

  Scenario: Snapshots are requested from peers in the own hall first, in other halls only after a delay
    Given a fresh forwarding node whose store is silent and whose peers are in other halls
    Then forwarding requests no snapshot within a second
    And forwarding requests a snapshot from a peer in another hall soon after
    When forwarding receives a heartbeat of a peer in its own hall
    Then forwarding sends further requests only to that peer

  Scenario: While the store is answering a large read no snapshot is requested from peers
    Given a fresh forwarding node whose store is silent, beside a peer in its hall
    When forwarding receives a page of an answer of the store each tenth of a second for 1.5 seconds
    Then forwarding has requested no snapshot, and requests one 0.3 seconds after the last page

  Scenario: A store whose answer never ends does not prevent a snapshot request to a peer
    Given a fresh forwarding node whose store is silent, beside a peer in its hall
    When forwarding receives a page of an answer of the store each tenth of a second for 3.0 seconds
    Then forwarding has requested a snapshot from a peer

  Scenario: Changes of single back ends from a peer do not count as the list of back ends
    Given a fresh forwarding node whose store is silent
    When forwarding receives 3 changed back ends from a peer before it has read the list
    Then forwarding forwards nothing yet, and holds all changes since the list once it has read it

  Scenario: After single changes, a list from a peer is the new start of the change history
    Given a fresh forwarding node whose store is silent
    When forwarding receives 3 changed back ends from a peer before it has read the list
    And forwarding receives the list and the routes from a peer
    Then forwarding is ready and holds all changes since the list

  Scenario: A store that refuses calls is probed until it serves again
    Then forwarding property: few refused calls are reads, and all is read soon after the store recovers

  Scenario: A failed probe is not repeated at once, whatever the reason
    Then forwarding property: a reader whose probes fail sends at most four per second

  Scenario: Calls that hang since the end of an outage do not hide later changes
    A watch issued while the store is silent times out only after 25.7 seconds.  The probes beside
    it are answered again when the outage ends, so the store counts as reachable.  That the watch
    misses changes shows in the revisions that two probes return.
    Then forwarding property: changes after an outage arrive within 3 seconds, whatever hangs
