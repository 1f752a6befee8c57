Feature: Operators' commands

  Scenario: The cli reports no findings for valid files
    When the cli runs "check {examples}/accra {examples}/auckland"
    Then the cli ends with code 0 and prints "35 resources, no findings"

  Scenario: The cli reports all findings of an invalid file at once
    Given a cli resources file with 7 errors
    When the cli runs "check {file}"
    Then the cli ends with code 1 and reports 7 findings, each with file, document and line

  Scenario: The cli prints findings as JSON
    Given a cli resources file with 7 errors
    When the cli runs "check {file} --output json"
    Then the cli ends with code 1 and prints 7 findings as JSON

  Scenario Outline: The cli reports bad usage in one line
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

  Scenario Outline: The cli reports an unreachable server in one line
    When the cli runs "<arguments>"
    Then the cli ends with code 4 and reports "cannot reach http://127.0.0.1:1"

    Examples:
      | arguments                                              |
      | status --api http://127.0.0.1:1                        |
      | get all --api http://127.0.0.1:1                       |
      | watch --api http://127.0.0.1:1                         |
      | drain playback-1 --platform http://127.0.0.1:1         |
      | apply {examples}/accra --platform http://127.0.0.1:1   |

  Scenario: The cli applies files as one generation and writes nothing if they are unchanged
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    Then the cli ends with code 0 and prints "generation 1 written: 17 added, 0 changed, 0 removed"
    When the cli runs "apply {examples}/accra --platform {platform}"
    Then the cli ends with code 0 and prints "generation 1 unchanged"
    When the cli runs "apply {examples}/auckland --platform {platform}"
    Then the cli ends with code 0 and prints "generation 2 written: 18 added, 0 changed, 17 removed"

  Scenario: The cli writes nothing if there are findings
    Given a cli platform stand-in
    And a cli resources file with 7 errors
    When the cli runs "apply {examples}/accra {file} --platform {platform}"
    Then the cli ends with code 1 and reports "7 findings"
    And the cli platform has generation 0

  Scenario: The cli does not overwrite a configuration that it has not read
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli platform returns generation 0 to readers
    And the cli runs "apply {examples}/auckland --platform {platform}"
    Then the cli ends with code 1 and reports "nothing was written"
    And the cli platform has generation 1

  Scenario: The cli waits until a generation is in force on every live balancer
    Given a cli platform stand-in
    And cli balancers "a, b, c" that use the configuration of that platform
    When the cli runs "apply {examples}/accra --platform {platform} --wait --api {a}"
    Then the cli ends with code 0 and prints "generation 1 in force on 3 balancers"

  Scenario: The cli names the balancers on which a generation is not in force in time
    Given a cli platform stand-in
    And cli balancers "a, b, c" that use the configuration of that platform
    And the cli balancer "b" remains at generation 0
    When the cli runs "apply {examples}/accra --platform {platform} --wait --timeout 0.2 --api {a} --api {c}"
    Then the cli ends with code 3 and reports "on b (generation 0)"

  Scenario: The cli drains one back end and changes nothing else
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "drain playback-3 --platform {platform}"
    Then the cli ends with code 0 and prints "generation 2 written: 0 added, 1 changed, 0 removed"
    And the cli platform has "playback-3" as its only draining back end

  Scenario: The cli undrains a back end
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "drain playback-3 --platform {platform}"
    And the cli runs "undrain playback-3 --platform {platform}"
    Then the cli ends with code 0 and prints "generation 3 written: 0 added, 1 changed, 0 removed"
    And the cli platform has no draining back end and no evacuated zone

  Scenario: The cli evacuates a zone and undoes the evacuation
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "drain zone accra --platform {platform}"
    Then the cli ends with code 0 and prints "generation 2 written: 0 added, 1 changed, 0 removed"
    And the cli platform allows no new flows to the back ends of zone "accra"
    When the cli runs "undrain zone accra --platform {platform}"
    Then the cli ends with code 0 and prints "generation 3 written: 0 added, 1 changed, 0 removed"
    And the cli platform has no draining back end and no evacuated zone

  Scenario: The cli reports an unknown zone and explains how to name a zone
    Given a cli platform stand-in
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "drain zone nowhere --platform {platform}"
    Then the cli ends with code 1 and reports "no zone 'nowhere'"
    When the cli runs "drain playback-3 playback-4 --platform {platform}"
    Then the cli ends with code 2 and reports "name a back end, or zone and its name"

  Scenario: The cli does not drain the last back end of a service
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
    And cli balancers "a" that use the configuration of that platform
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
    And cli balancers "a, b, c" that use the configuration of that platform
    And the cli balancer "c" is suspected by the others
    When the cli runs "status --api {a}"
    Then the cli ends with code 0 and prints "c         active (suspected)"

  Scenario: The cli prints each event of a watch until the watch ends
    Given a cli platform stand-in
    And cli balancers "a" that use the configuration of that platform
    When the cli runs "apply {examples}/accra --platform {platform}"
    And the cli runs "watch halls --api {a}"
    Then the cli ends with code 1 and prints "{"type":"gone""
    And the cli printed 4 lines

  Scenario: The cli help names every exit code
    When the cli runs "--help"
    Then the cli ends with code 0 and its help names every exit code

  Scenario: The cli ends with a documented exit code and without a traceback for any arguments
    Then for any cli arguments the exit code is documented and only a failure prints an error

  Scenario: The cli accepts API URLs at any position
    Then for any cli arguments repeated API options are joined and the others keep their order

  Scenario: The cli reports a generation as in force only if it is so on every live balancer
    Then for any cli statuses a balancer lags if its own or else highest reported generation is older

  Scenario: The cli does not overwrite a concurrent change when it drains a back end
    Then for any cli drain a concurrent write after its read is not overwritten
