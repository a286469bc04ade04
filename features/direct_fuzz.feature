Feature: Malformed input never crashes an entry

  Scenario Outline: any input is accepted or rejected
    When <count> inputs are given to the reader of <source>
    Then each is accepted or rejected with an error of this project

    Examples:
      | count | source            |
      | 600   | callers' requests |
      | 600   | targets' answers  |
      | 600   | server entries    |
      | 600   | configurations    |
      | 600   | header fields     |
      | 600   | settings files    |

  Scenario Outline: input that never ends is rejected or consumed, and little of it is held
    When <count> inputs that never end are given to the reader of <source>
    Then the reader held at most <kibibytes> KiB, and rejected at least <rejected>

    Examples:
      | count | source            | kibibytes | rejected |
      | 200   | callers' requests | 4160      | 150      |
      | 200   | targets' answers  | 1088      | 100      |
      | 200   | event streams     | 1088      | 100      |

  Scenario: hints with any content add or remove no target
    When the load exchange receives 600 datagrams
    Then no target was added or removed

  Scenario: events do not depend on how a stream is split
    When 600 streams are split at random positions
    Then each delivers its events complete and in order

  Scenario: a stream that resumes at another target delivers each event once
    When 600 streams break at random positions and resume at another target
    Then each delivers its events complete and in order

  Scenario: fleet views with any content never decrease revision or version
    Given a dispatcher before 2 plain targets
    When 600 views reach it while the store is lost
    Then revision and version never fell

  Scenario: the route of any path is the one with the longest prefix
    When 600 paths are looked up among routes with any prefixes
    Then each has the route whose prefix is its longest one
