Feature: A stopping balancer forwards on as long as routers may send packets to it

  Scenario: The end of a planned stop, for any packets and any zone
    Then a planned stop ends in time, never while packets come or all of the zone are used, for any course

  Scenario: A balancer that leaves alone ends soon
    Given a fleet of 18 balancers in three zones behind routers
    When 1 balancer of a zone is asked to stop
    Then it is never called ready again, and ends between 1.8 and 3.0 seconds later
    And no packet of the zone was lost

  Scenario: The last ones of a zone stay ready while most of it has left
    Given a fleet of 18 balancers in three zones behind routers
    When 3 balancers of a zone are asked to stop
    And 2 more balancers of the zone are asked to stop after 1.0 seconds
    Then the last 2 say that they are ready for 2.4 seconds at most
    And all that were asked have ended within 5.1 seconds of that

  Scenario: A whole zone stops at once
    Given a fleet of 18 balancers in three zones behind routers
    When 6 balancers of a zone are asked to stop
    Then none of the zone is called ready after 2.4 seconds
    And all that were asked have ended within 5.1 seconds of that

  Scenario: Half of a zone leaves while a quarter of it is killed
    Given a fleet of 24 balancers in three zones behind routers
    When 2 balancers of a zone are killed
    And 4 balancers of a zone are asked to stop
    Then all that were asked have ended within 5.1 seconds of that
    And none has ended while routers sent packets to it, but at the end of its time

  Scenario: Most of a zone is taken away, two balancers at a time
    Given a fleet of 18 balancers in three zones behind routers
    When 5 balancers of a zone are taken away, two each second
    Then at most half as many packets are lost as where each forwards on for 1.8 seconds only

  Scenario: Most of a zone is taken away, whatever its balancers have heard of each other
    The scenario above held for its seed, and for 21 of the first 40.  A heartbeat goes to a random
    few, and only it names its sender's hall: 6 s after its start a balancer had not heard of some
    of its hall, counted too many or too few of them as ready, and ended while routers used all:
      1.0 10.1.0.12 stopping zone_ready=2 zone_others=3 (six in the hall)
      1.8 10.1.0.6 stop_completed reason=no_packets zone_ready=3 zone_others=3 (two were ready)
    Then for each of 8 seeds at most half as many packets are lost as with stops that end after 1.8 seconds

  Scenario: A balancer that stops asks its hall, and the hall answers
    Given a forwarding node that knows one peer in its hall, one in another hall, and one by address only
    When forwarding is requested to stop while it has peers
    Then forwarding notifies the peer in its hall and the one known by address only

  Scenario: A peer of the hall that stops is answered once
    Given a forwarding node that knows one peer in its hall, one in another hall, and one by address only
    When the peer in its hall announces twice that it is stopping
    Then forwarding sends it one heartbeat that names its own hall
    When the peer in the other hall announces that it is stopping
    Then forwarding sends the peer in the other hall no heartbeat

  Scenario: A stop during a start
    Given a fresh forwarding node whose store is silent
    When forwarding is asked to stop with 6 seconds of grace
    Then forwarding never says that it is ready and ends before the grace time

  Scenario: A process that is told no grace time ends after the least time
    Given a forwarding node with routes and back ends
    When forwarding is asked to stop and packets go on coming
    Then forwarding completes the stop after 1.8 seconds
