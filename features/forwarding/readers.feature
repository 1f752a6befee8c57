Feature: A few balancers read the store and spread its changes to all others

  Scenario: A fleet elects three readers, and three new ones after these are killed
    Given a simulated fleet of 40 forwarding nodes
    Then the forwarding fleet has 3 readers after 6 seconds
    When all readers of the forwarding fleet are killed
    Then the forwarding fleet has 3 readers after 6 seconds

  Scenario: Without changes the whole fleet calls the store only as often as three readers need
    Given a simulated fleet of 40 forwarding nodes
    Then the forwarding fleet has 3 readers after 6 seconds
    And the forwarding fleet calls the store less than 5 times per second without changes

  Scenario: Control traffic of a balancer does not grow with the fleet
    Then forwarding fleets of 20 and of 120 send at most 25 datagrams per second per balancer

  Scenario: Changes reach all balancers within two seconds although every fifth datagram is lost
    Then forwarding property: changes of routes and back ends reach a fleet with packet loss within 2 seconds

  Scenario: A change that does not fit a datagram reaches all balancers
    Given a simulated fleet of 40 forwarding nodes
    When the operator of the forwarding fleet adds 300 routes
    Then the forwarding fleet has all changes within 2 seconds
    And the forwarding fleet has read the routes from the store at most 6 times

  Scenario: More simultaneous changes than fit a datagram reach all balancers
    Given a simulated fleet of 40 forwarding nodes
    When 60 back ends of the forwarding fleet start at once
    Then the forwarding fleet has all changes within 2 seconds

  Scenario: A change reaches all balancers although every reader has lost the store without detecting it
    Then forwarding property: a change after all readers lost the store reaches all within 3 seconds

  Scenario: Both sides of a network partition receive the store's changes
    Given a simulated fleet of 30 forwarding nodes
    When the forwarding fleet is partitioned in two and the operator changes a route
    Then the forwarding fleet has all changes within 3 seconds
    When the partition of the forwarding fleet ends
    Then the forwarding fleet has 3 readers after 6 seconds

  Scenario: An isolated balancer reads the store itself
    Given a simulated fleet of 12 forwarding nodes
    When one follower of the forwarding fleet is isolated from all others and the operator changes a route
    Then the forwarding fleet has all changes within 3 seconds

  Scenario: A store that does not answer is called at a bounded rate, and read soon after it is back
    Given a simulated fleet of 40 forwarding nodes
    When the forwarding fleet gets no answer from the store for 6 seconds
    Then the forwarding fleet has called it less than 30 times per second
    When the store answers again and the operator changes a route
    Then the forwarding fleet has all changes within 3 seconds

  Scenario: Balancers that the store does not answer receive changes from those it answers
    Given a simulated fleet of 30 forwarding nodes
    When the store does not answer a third of the forwarding fleet, its readers first, and changes are made
    Then the forwarding fleet has all changes within 3 seconds

  Scenario: A new process has all changes soon although its first list was stale
    Given a simulated fleet of 20 forwarding nodes
    When a back end of the forwarding fleet leaves and a process is restarted
    Then the forwarding fleet has all changes within 2 seconds

  Scenario: A fleet that restarts as a whole learns of entries as they return
    Given a simulated fleet of 20 forwarding nodes
    When most entries expire, the whole forwarding fleet restarts, and the entries return within 0.3 seconds
    Then the forwarding fleet has all changes within 0.5 seconds

  Scenario: A new reader confirms the changes of its first read
    After a restart of all processes, entries may return before there are readers.  If the first confirmation
    of a new reader names the revision of its read (118) without the changes that led to it, the others, which
    have all changes up to 113, request them.  Some requests go to peers that lack them too, so the changes
    arrive more than 0.5 s later.
    Given a forwarding node that has all changes up to revision 113
    When forwarding becomes a reader and reads at revision 118 that a back end is leaving
    Then its first confirmation contains all changes from revision 113 to 118

  Scenario: A fleet that restarts as a whole calls the store at a bounded rate
    Given a simulated fleet of 40 forwarding nodes
    When the whole forwarding fleet is killed and restarted
    Then the forwarding fleet calls the store less than 200 times in its first 6 seconds
    And the forwarding fleet has 3 readers after 1 seconds

  Scenario: A difference of routes applies only to the version it is based on
    Then forwarding property: a difference of routes turns the older version into the newer one and no other

  Scenario: A balancer that applies changes in parts has all of them up to the revision it reports
    Then forwarding property: changes received in parts, some lost, never leave an undetected gap

  Scenario: A change is sent about once to each balancer, not forwarded repeatedly by all
    Given a simulated fleet of 40 forwarding nodes
    When 60 back ends of the forwarding fleet start at once
    Then each balancer of the forwarding fleet sends at most 30 kilobytes in 4 seconds
