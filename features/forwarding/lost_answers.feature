Feature: Forwarding follows the store although its answers to calls are lost

  Scenario Outline: A change whose answers are lost is known although other changes follow it
    Guards against a change that stays hidden for the life of a silent watch.  The store counts the revisions
    of all keys together, so a later change of another kind must not count as the one that was missed.
    Given a simulated fleet of <count> forwarding nodes whose store may lose answers
    When the store loses the answers to watches while a back end is added, and again while <hidden>
    And <later> every <interval> seconds for 3 seconds
    Then all nodes of the forwarding fleet know the change whose answers were lost

    Examples:
      | count | hidden                     | later                      | interval |
      | 7     | a back end begins to leave | the routes change          | 3.0      |
      | 7     | a back end begins to leave | the routes change          | 0.15     |
      | 7     | a back end is gone         | the routes change          | 0.5      |
      | 7     | a back end is added        | a zone is evacuated        | 0.5      |
      | 7     | a back end moves its zone  | the routes change          | 0.5      |
      | 7     | the routes change          | a back end is added        | 0.5      |
      | 7     | a zone is evacuated        | a back end begins to leave | 0.5      |
      | 7     | a zone is evacuated        | other keys change          | 0.15     |
      | 1     | a back end begins to leave | the routes change          | 0.5      |
      | 3     | the routes change          | a back end is gone         | 0.5      |
      | 20    | a back end is gone         | other keys change          | 0.5      |
      | 20    | the routes change          | a back end is added        | 0.15     |

  Scenario Outline: A change whose answers are lost is known although the other watch goes on
    Guards against a change that is hidden by the answers to a watch that works, in either direction.
    Given a simulated fleet of <count> forwarding nodes whose store may lose answers
    When the store loses the answers to watches of the <subject> while <hidden>
    And <later> every <interval> seconds for 3 seconds
    Then all nodes of the forwarding fleet know the change whose answers were lost

    Examples:
      | count | subject   | hidden                     | later                      | interval |
      | 7     | routes    | the routes change          | a back end begins to leave | 0.5      |
      | 7     | routes    | a zone is evacuated        | a back end is added        | 0.5      |
      | 3     | routes    | the routes change          | a back end is gone         | 0.5      |
      | 1     | routes    | a zone is evacuated        | a back end is added        | 0.5      |
      | 20    | routes    | the routes change          | a back end moves its zone  | 0.5      |
      | 7     | back ends | a back end begins to leave | the routes change          | 0.5      |
      | 3     | back ends | a back end is gone         | a zone is evacuated        | 0.5      |

  Scenario: The next change after lost answers arrives by a new watch
    Guards against a silent watch that is kept until its time limit, so that each later change must be missed
    before it is found.
    Given a simulated fleet of 7 forwarding nodes whose store may lose answers
    When the store loses the answers to watches while a back end is added, and serves for 4.5 seconds
    And a back end begins to leave every 1.2 seconds for 1.2 seconds
    Then the forwarding fleet has all changes within 0.1 seconds

  Scenario: Any change is in force in time, whichever answers the store loses
    Guards against changes that are hidden by lost answers, in any order and series.
    Then forwarding property: each change is in force within 3 seconds, or 4 seconds after the last lost answer

  Scenario: A store without changes is asked for none
    Given a simulated fleet of 7 forwarding nodes whose store may lose answers
    When the store serves the forwarding fleet for 20 seconds without any change
    Then the forwarding fleet has verified no watch
