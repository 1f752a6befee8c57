Feature: An evacuated hall gets no new flows and keeps its open flows

  Scenario: Evacuations reach all balancers within two seconds despite other changes and packet loss
    Then forwarding property: evacuated and restored halls are known to a fleet with packet loss within 2 seconds

  Scenario: Evacuations reach all balancers while the store refuses a third of them and some restart
    Then forwarding property: evacuations reach a fleet while the store refuses a third of it and some restart

  Scenario: The newest set of evacuated halls is in force, whatever the order of messages
    Then forwarding property: the newest set of evacuated halls is in force in any order of messages

  Scenario: A failed read does not end an evacuation
    Given a forwarding node with routes and back ends
    When forwarding reads that hall north is evacuated and its later reads fail
    Then forwarding refuses a new flow at once because there is no back end

  Scenario: Open flows stay; new flows go to other halls or are refused at once
    Then forwarding property: no new flow goes to an evacuated hall, and every open flow stays

  Scenario: A back end whose entry names another hall counts as in that hall
    Guards against new flows in an evacuated hall.  The hall of a back end's first entry was kept for its life.
    Given a forwarding node with routes and back ends
    When the entries of all back ends move to hall south, which is evacuated
    Then forwarding refuses a new flow at once because there is no back end

  Scenario: A restored hall gets flows only under the slow-start limit until its back ends are warm
    Given a forwarding node with a limit for slow start
    When forwarding reads that hall south is evacuated and then restored
    Then forwarding places no flow in hall south for 2 seconds, and some afterwards
