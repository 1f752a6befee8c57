Feature: Operators' commands

  Scenario: The cli check of correct files passes
    When the cli runs "check {examples}/accra {examples}/auckland"
    Then the cli ends with code 0 and prints "35 resources, no findings"

  Scenario: The cli check of a broken file lists every finding at once
    Given a cli resources file with 7 faults
    When the cli runs "check {file}"
    Then the cli ends with code 1 and reports 7 findings, each with file, document and line

  Scenario: The cli check can print findings as JSON
    Given a cli resources file with 7 faults
    When the cli runs "check {file} --output json"
    Then the cli ends with code 1 and prints 7 findings as JSON

  Scenario Outline: The cli refuses bad usage with one line
    When the cli runs "<arguments>"
    Then the cli ends with code 2 and reports "<reason>"

    Examples:
      | arguments                                  | reason                |
      | check                                      | no file               |
      | apply {examples}/accra                     | no platform           |
      | apply {examples}/accra --platform ftp://x  | invalid URL           |
      | apply {examples}/accra --wait --platform http://127.0.0.1:1 | no balancer |
      | status                                     | no balancer           |
      | get thing --api http://127.0.0.1:1         | unknown kind          |
      | get all a-name --api http://127.0.0.1:1    | a name needs one kind |

  Scenario Outline: The cli says with one line what it cannot reach
    When the cli runs "<arguments>"
    Then the cli ends with code 4 and reports "cannot reach http://127.0.0.1:1"

    Examples:
      | arguments                                              |
      | status --api http://127.0.0.1:1                        |
      | get all --api http://127.0.0.1:1                       |
      | watch --api http://127.0.0.1:1                         |
      | drain playback-1 --platform http://127.0.0.1:1         |
      | apply {examples}/accra --platform http://127.0.0.1:1   |

  Scenario: The cli applies files as one generation, once
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    Then the cli ends with code 0 and prints "generation 1 written: 17 added, 0 changed, 0 removed"
    When the cli runs "apply {examples}/accra --platform {platform}"
    Then the cli ends with code 0 and prints "generation 1 unchanged"
    When the cli runs "apply {examples}/auckland --platform {platform}"
    Then the cli ends with code 0 and prints "generation 2 written: 18 added, 0 changed, 17 removed"

  Scenario: The cli writes nothing where there are findings
    Given a cli platform stand-in
    And a cli resources file with 7 faults
    When the cli runs "apply {examples}/accra {file} --platform {platform}"
    Then the cli ends with code 1 and reports "7 findings"
    And the cli platform has generation 0

  Scenario: The cli does not overwrite what it has not read
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli platform gives its generation 0 to readers
    And the cli runs "apply {examples}/auckland --platform {platform}"
    Then the cli ends with code 1 and reports "nothing was written"
    And the cli platform has generation 1

  Scenario: The cli waits until a generation is in force on every live balancer
    Given a cli platform stand-in
    And cli balancers "a, b, c" that follow it
    When the cli runs "apply {examples}/accra --platform {platform} --wait --api {a}"
    Then the cli ends with code 0 and prints "generation 1 in force on 3 balancers"

  Scenario: The cli names the balancers that lag
    Given a cli platform stand-in
    And cli balancers "a, b, c" that follow it
    And the cli balancer "b" stays at generation 0
    When the cli runs "apply {examples}/accra --platform {platform} --wait --timeout 0.2 --api {a} --api {c}"
    Then the cli ends with code 3 and reports "on b (generation 0)"

  Scenario: The cli drains one back end and nothing else
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "drain playback-3 --platform {platform}"
    Then the cli ends with code 0 and prints "generation 2 written: 0 added, 1 changed, 0 removed"
    And the cli platform has "playback-3" as its only draining back end

  Scenario: The cli takes a drain of a back end back
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "drain playback-3 --platform {platform}"
    And the cli runs "undrain playback-3 --platform {platform}"
    Then the cli ends with code 0 and prints "generation 3 written: 0 added, 1 changed, 0 removed"
    And the cli platform has no draining back end and no evacuated zone

  Scenario: The cli evacuates a zone and takes it back
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "drain zone accra --platform {platform}"
    Then the cli ends with code 0 and prints "generation 2 written: 0 added, 1 changed, 0 removed"
    And the cli platform gives no back end of zone "accra" new flows
    When the cli runs "undrain zone accra --platform {platform}"
    Then the cli ends with code 0 and prints "generation 3 written: 0 added, 1 changed, 0 removed"
    And the cli platform has no draining back end and no evacuated zone

  Scenario: The cli says which zone it does not know, and how a zone is named
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "drain zone nowhere --platform {platform}"
    Then the cli ends with code 1 and reports "no zone 'nowhere'"
    When the cli runs "drain playback-3 playback-4 --platform {platform}"
    Then the cli ends with code 2 and reports "name a back end, or zone and its name"

  Scenario: The cli does not drain what no flow could do without
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "drain archive-1 --platform {platform}"
    And the cli runs "drain archive-2 --platform {platform}"
    And the cli runs "drain archive-3 --platform {platform}"
    Then the cli ends with code 1 and reports "archive-3 cannot be drained: 1 finding"
    When the cli runs "drain nobody --platform {platform}"
    Then the cli ends with code 1 and reports "no back end 'nobody'"
    And the cli platform has generation 3

  Scenario: The cli prints resources in force in each format
    Given a cli platform stand-in
    And cli balancers "a" that follow it
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "get backends --api {a}"
    Then the cli ends with code 0 and prints "playback-7"
    When the cli runs "get all -o json --api {a}"
    Then the cli printed the 17 resources in force as "json"
    When the cli runs "get all -o yaml --api {a}"
    Then the cli printed the 17 resources in force as "yaml"
    When the cli runs "get hall nowhere --api {a}"
    Then the cli ends with code 1 and reports "nowhere"

  Scenario: The cli prints a line of status for each balancer
    Given a cli platform stand-in
    And cli balancers "a, b, c" that follow it
    And the cli balancer "c" is suspected by the others
    When the cli runs "status --api {a}"
    Then the cli ends with code 0 and prints "c         active (suspected)"

  Scenario: The cli prints each change of a watch until it ends
    Given a cli platform stand-in
    And cli balancers "a" that follow it
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "watch halls --api {a}"
    Then the cli ends with code 1 and prints "{"type":"gone""
    And the cli printed 4 lines

  Scenario: The cli help names every exit code
    When the cli runs "--help"
    Then the cli ends with code 0 and its help names every exit code

  Scenario: The cli ends any arguments with a documented code and without a traceback
    Then for any cli arguments the code is documented and each error is one line

  Scenario: The cli takes the API's URLs wherever they stand
    Then for any cli arguments repeated API options are joined and all else keeps its order

  Scenario: The cli counts a generation as in force only where every live balancer has it
    Then for any cli statuses the lagging balancers are those whose best known generation is older

  Scenario: The cli does not drain over a change another operator made meanwhile
    Then cli property: a write made after the drain has read is never overwritten
