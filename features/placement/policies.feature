Feature: Placement of new flows
  Every policy is a pure function of the flow, the candidates and the random source.

  Scenario Outline: Placement always returns one of the candidates
    Given the placement policy "<policy>"
    Then for any candidates the placement is one of them and the same for the same seed

    Examples:
      | policy       |
      | hash         |
      | bounded-load |
      | two-choices  |
      | hot-cold     |
      | least-loaded |

  Scenario Outline: Placement spares ejected and full back ends
    Given the placement policy "<policy>"
    Then for any candidates the placement is neither ejected nor full while another one is neither

    Examples:
      | policy       |
      | bounded-load |
      | two-choices  |
      | hot-cold     |
      | least-loaded |

  Scenario: Placement by hash does not move flows when another back end leaves
    Then for any flow and back ends the placement by hash stays when another back end is removed

  Scenario: Placement by hash does not depend on the order of the back ends
    Then for any flow and back ends the placement by hash is first in the hash order of any permutation

  Scenario: Placement by hash follows weight times slots
    When 20000 placements by hash are made over capacities 100, 200 and 400
    Then the placement shares are within 0.015 of 1/7, 2/7 and 4/7

  Scenario: Placement within a bound keeps to the factor
    Then for any known load the bounded placement is at most 1.25 times the mean

  Scenario: Placement within a bound keeps the hash choice while it is within the bound
    Then for any evenly loaded back ends the bounded placement is the hash choice

  Scenario: Placement does not take a back end for idle because nothing was heard of it
    Given placement candidates that report 50 and 150 flows and one that reports nothing
    When the placement policy "least-loaded" chooses
    Then the placement is the candidate that reports 50 flows

  Scenario Outline: Placement gives a cold back end less
    When 400 flows are placed by "<policy>" over 3 idle back ends of which one has warmth 0.1
    Then the cold back end has at most 12 percent of the placements

    Examples:
      | policy       |
      | bounded-load |
      | least-loaded |

  Scenario: Placement by hot-cold avoids a back end with many requests in flight
    Given placement candidates with 1, 2, 1 and 30 requests in flight of which the last has fewest flows
    When the placement policy "hot-cold" chooses 200 times
    Then the placement is never the candidate with 30 requests in flight

  Scenario: Placement by an unknown policy is refused
    Then asking for the placement policy "roundest-robin" fails and names the known ones
