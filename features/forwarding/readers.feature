Feature: A few balancers read the store, and all know soon what they have read

  Scenario: A fleet has three readers, and three again after they are lost
    Given a simulated fleet of 40 forwarding nodes
    Then the forwarding fleet has 3 readers after 6 seconds
    When all readers of the forwarding fleet are killed
    Then the forwarding fleet has 3 readers after 6 seconds

  Scenario: At rest the whole fleet calls the store as often as three balancers need
    Given a simulated fleet of 40 forwarding nodes
    Then the forwarding fleet has 3 readers after 6 seconds
    And the forwarding fleet calls the store less than 5 times a second at rest

  Scenario: Control traffic of a balancer does not grow with the fleet
    Then forwarding fleets of 20 and of 120 send at most 25 datagrams a second for each balancer

  Scenario: Changes reach all within two seconds, though every fifth datagram is lost
    Then forwarding property: changes of routes and back ends reach a fleet with losses within 2 seconds

  Scenario: A change that does not fit a datagram reaches all
    Given a simulated fleet of 40 forwarding nodes
    When the operator of the forwarding fleet adds 300 routes
    Then the forwarding fleet knows all within 2 seconds
    And the forwarding fleet has read the routes from the store at most 6 times

  Scenario: More changes at once than a datagram holds reach all
    Given a simulated fleet of 40 forwarding nodes
    When 60 back ends of the forwarding fleet start at once
    Then the forwarding fleet knows all within 2 seconds

  Scenario: A change reaches all though every reader has lost the store without noticing
    Then forwarding property: a change after all readers were cut from the store is known within 3 seconds

  Scenario: Two parts of a fleet that cannot reach each other both follow the store
    Given a simulated fleet of 30 forwarding nodes
    When the forwarding fleet is parted in two and the operator changes a route
    Then the forwarding fleet knows all within 3 seconds
    When the parts of the forwarding fleet meet again
    Then the forwarding fleet has 3 readers after 6 seconds

  Scenario: A balancer that no other reaches follows the store by itself
    Given a simulated fleet of 12 forwarding nodes
    When one listener of the forwarding fleet is cut off from all others and the operator changes a route
    Then the forwarding fleet knows all within 3 seconds

  Scenario: While nobody reaches the store it is asked at a bounded rate, and soon after by all means
    Given a simulated fleet of 40 forwarding nodes
    When the forwarding fleet is without the store for 6 seconds
    Then the forwarding fleet has called it less than 30 times a second
    When the store is back and the operator changes a route
    Then the forwarding fleet knows all within 3 seconds

  Scenario: Balancers that the store refuses learn from those it answers
    Given a simulated fleet of 30 forwarding nodes
    When the store refuses a third of the forwarding fleet, its readers first, and changes come
    Then the forwarding fleet knows all within 3 seconds

  Scenario: A fresh process knows all soon, though its first list was stale
    Given a simulated fleet of 20 forwarding nodes
    When a back end of the forwarding fleet leaves and a process is started anew
    Then the forwarding fleet knows all within 2 seconds

  Scenario: A fleet that was killed whole learns of entries as they come back
    Given a simulated fleet of 20 forwarding nodes
    When most entries lapse, the whole forwarding fleet is killed, and the entries come back within 0.3 seconds
    Then the forwarding fleet knows all within 0.5 seconds

  Scenario: A new reader confirms what its first read has brought
    After a loss of all processes entries came back before there were readers.  Each new reader
    confirmed first at the revision of its read, with no changes in it; the others knew all up to an
    older one and requested what they lacked, some of peers that lacked it too, for 0.5 s and more:
      -0.03 role_changed reader
      0.01  confirmation base=118 revision=118, no changes (all others know up to 113)
      0.11  request of changes since 113, and again at 0.31 and 0.51
      0.518 backend_changed i-00000002 state=ready rev=114 told=peer
    Given a forwarding node that has all changes up to revision 113
    When forwarding becomes a reader and reads at revision 118 that a back end is leaving
    Then its first confirmation contains all changes from revision 113 to 118

  Scenario: A fleet that was killed whole asks the store at a bounded rate
    Given a simulated fleet of 40 forwarding nodes
    When the whole forwarding fleet is killed and started anew
    Then the forwarding fleet calls the store less than 200 times in its first 6 seconds
    And the forwarding fleet has 3 readers after 1 seconds

  Scenario: Differences of routes lead from one version to another and nowhere else
    Then forwarding property: a difference of routes makes the newer version out of the older one only

  Scenario: Whoever takes parts of changes knows all up to the revision it then names
    Then forwarding property: changes told in parts, some lost, never leave a gap unnoticed

  Scenario: A change travels about once to each balancer, and is not repeated by all
    Given a simulated fleet of 40 forwarding nodes
    When 60 back ends of the forwarding fleet start at once
    Then each balancer of the forwarding fleet sends at most 30 kilobytes in 4 seconds
