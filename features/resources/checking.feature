Feature: Validation of declared resources

  Scenario Outline: The resources example of a city declares its halls and back ends without findings
    When the resources in "examples/<city>" are loaded
    Then no resources finding is reported
    And the resources declare 3 halls, 7 back ends of "<first>" and 3 of "<second>"

    Examples:
      | city     | first    | second  |
      | accra    | playback | archive |
      | auckland | booking  | roster  |

  Scenario: All resources findings of a broken file are reported at once, each with its position
    Given a resources file "broken.yaml" with the lines
      """
      apiVersion: sloepond/v1
      kind: Zone
      metadata: {name: accra, nam: x}
      spec: {region: nowhere}
      ---
      apiVersion: sloepond/v2
      kind: Backend
      metadata: {name: Playback_1}
      spec:
        service: none
        address: host:99999
        hall: 7
        slots: 0
        weight: 1.5
        stat: active
      status: {generation: 3}
      ---
      kind: Servce
      ---
      - 1
      ---
      apiVersion: sloepond/v1
      kind: Zone
      metadata: {name: accra}
      spec: {region: nowhere, region: elsewhere}
      ---
      a: [
      """
    When that resources file is loaded
    Then these resources findings and no others are reported
      | line | document | field          | reason         |
      | 3    | 1        | metadata.nam   | unknown field  |
      | 4    | 1        | spec.region    | not declared   |
      | 6    | 2        | apiVersion     | unknown version |
      | 8    | 2        | metadata.name  | invalid name   |
      | 10   | 2        | spec.service   | not declared   |
      | 11   | 2        | spec.address   | invalid address |
      | 12   | 2        | spec.hall      | expected str   |
      | 13   | 2        | spec.slots     | 0 is not from  |
      | 14   | 2        | spec.weight    | expected int   |
      | 15   | 2        | spec.stat      | unknown field  |
      | 16   | 2        | status         | never declared |
      | 18   | 3        | kind           | unknown kind   |
      | 20   | 4        |                | got a list     |
      | 24   | 5        | metadata.name  | declared before |
      | 25   | 5        | spec.region    | not declared   |
      | 25   | 5        | spec.region    | written twice  |
      | 28   | 0        |                | not YAML       |

  Scenario: Resources findings of several files and of missing files are reported together
    Given a resources file "one.json" with the lines
      """
      {"resources": [{"kind": "Region", "apiVersion": "sloepond/v1", "metadata": {"name": 3}}]}
      """
    And a resources file "two.json" with the lines
      """
      {"kind":
      """
    When those resources files and the missing file "three.yaml" are loaded
    Then a resources finding is reported for each of "one.json, two.json, three.yaml"

  Scenario Outline: A resources service that no flow can reach is a finding
    Given the resources of the city accra
    When in the resources each "<kind>" of "archive" gets "<field>" <value>
    Then the resources findings are "<reason>"

    Examples:
      | kind    | field     | value                | reason                                                                      |
      | Service | permitted | []                   | unreachable: no place is permitted                                          |
      | Service | denied    | [{"region":"ghana"}] | unreachable: no back end is in a permitted place                        |
      | Backend | hall      | "labone"             | unreachable: no back end is in a permitted place                        |
      | Backend | state     | "draining"           | unreachable: every back end in a permitted place is draining or has weight 0 |
      | Backend | weight    | 0                    | unreachable: every back end in a permitted place is draining or has weight 0 |

  Scenario Outline: A resources selector that matches no place is a finding
    Given the resources of the city accra
    When in the resources each "Service" of "playback" gets "denied" <value>
    Then the resources findings are "<reason>"

    Examples:
      | value                                  | reason                                             |
      | [{"hall":"nowhere"}]                   | Hall 'nowhere' is not declared                     |
      | [{"zone":"lome","hall":"osu"}]         | selects no place: the hall is in zone 'accra'      |
      | [{"region":"togo","hall":"osu"}]       | selects no place: the zone is in region 'ghana'    |

  Scenario: A resources service is reachable exactly if a permitted place has a back end that accepts flows
    Then for any resources places, states and weights validation agrees with a search of all pairs

  Scenario: Resources errors do not suppress each other
    Then for any set of independent resources errors each one is reported at its field

  Scenario: A mutated set of resources yields findings or a snapshot that compiles
    Then for any mutation of valid resources validation returns findings or a snapshot that compiles

  Scenario: Parsing any text as resources raises no exception
    Then for any resources text in YAML or JSON parsing returns documents or findings

  Scenario: Resources written as YAML or JSON are parsed back unchanged
    Then for any order of valid resources both formats give the same snapshot

  Scenario: Resources from other sources are validated as strictly as files
    Given the resources of the city accra
    When a resources declaration contains a status
    Then the resources findings are "status is written by the system, never declared"

  Scenario: The fast resources check of a back end agrees with full validation
    Then for any values of a back end the typed resources check agrees with full validation

  Scenario: Edited resources indexes equal newly built ones
    Then for any edits the resources sequence and mapping equal a list and a dictionary
