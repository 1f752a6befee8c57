Feature: What the store says is followed, whatever it answers

  Scenario: Routes never go back
    Then forwarding property: the version in force never falls, in any order of answers

  Scenario: A change made while watches were cut is known after the next read
    Given a forwarding node with routes and back ends
    When forwarding has its watches cut and the new ones stay silent
    Then forwarding reads everything again at once, and once more a little later

  Scenario: Whatever fails, everything is read before the next watch
    Then forwarding property: after a failed call a read is answered before a watch begins

  Scenario: A store that fails is asked at a bounded rate
    Then forwarding property: calls to a failing store stay below three a second for each subject

  Scenario: A peer that knows more is asked, and the store where no peer answers
    Given a forwarding node with routes and back ends
    And three readers that know no more than it does
    When forwarding hears of a newer version from a peer
    Then forwarding asks that peer for it within a fifth of a second
    And forwarding reads the routes within a second where no peer answers

  Scenario: A fresh balancer learns from peers while the store is silent
    Given a fresh forwarding node whose store is silent, beside a peer in its zone
    When forwarding is told all a peer knows
    Then forwarding is ready and forwards to back ends that left the list

  Scenario: A fresh balancer that the store refuses asks a peer at once
    Given a fresh forwarding node beside a peer in its zone
    When the store refuses the first reads of forwarding
    Then forwarding asks the peer for all it knows within 0.12 seconds

  Scenario: A fresh balancer that the store refuses does not wait long for a peer in its zone
    Given a fresh forwarding node beside a peer in another zone
    When the store refuses the first reads of forwarding
    Then forwarding asks the peer for all it knows within 0.4 seconds

  Scenario: A first list that may be stale is confirmed soon
    Given a fresh forwarding node whose store is silent
    Then forwarding asks for a stale list first and reads it again within three seconds

  Scenario: What is large is asked of a peer in the own zone; elsewhere only after a while
    Given a fresh forwarding node whose store is silent and whose peers stand in other zones
    Then forwarding asks nobody for all it knows within a second
    And forwarding asks a peer in another zone soon after
    When forwarding hears a peer in its own zone
    Then forwarding asks only that peer from then on

  Scenario: While the store is answering a large read no peer is asked for all it knows
    Given a fresh forwarding node whose store is silent, beside a peer in its zone
    When forwarding hears a part of an answer of the store each tenth of a second for 1.5 seconds
    Then forwarding has asked nobody meanwhile and asks a peer 0.3 seconds after the last part

  Scenario: A store that never ends its answer does not keep a fresh process from its peers
    Given a fresh forwarding node whose store is silent, beside a peer in its zone
    When forwarding hears a part of an answer of the store each tenth of a second for 3.0 seconds
    Then forwarding has asked a peer meanwhile

  Scenario: What peers tell of single back ends does not count as the list of them
    Given a fresh forwarding node whose store is silent
    When forwarding hears of 3 changed back ends before it has read the list
    Then forwarding forwards nothing yet, and knows all changes since the list once it is read

  Scenario: A list that a peer tells after single changes is where changes go on from
    Given a fresh forwarding node whose store is silent
    When forwarding hears of 3 changed back ends before it has read the list
    And forwarding is told the list and the routes by a peer
    Then forwarding is ready and knows all changes since the list

  Scenario: A store that refuses is asked by probes until it serves again
    Then forwarding property: while calls are refused few are reads, and once they are served all is read soon

  Scenario: A probe that fails, for whatever reason, is not repeated at once
    Then forwarding property: a reader whose probes fail sends at most four a second

  Scenario: Calls made in the last moments of a silent outage keep nobody from what follows
    A watch that is issued while the store says nothing is given up after 25.7 seconds only.  The
    probes beside it are answered again as the outage ends, and what they bring counts as contact
    with the store; that the watch tells nothing shows in the revisions that two probes name.
    Then forwarding property: changes after an outage are known within 3 seconds, whatever hangs
