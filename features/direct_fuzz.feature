Feature: Bytes from outside never break an entry

  Scenario Outline: whatever comes is read or refused
    When <count> inputs reach the reader of <source>
    Then each is read or refused with an error of the project

    Examples:
      | count | source            |
      | 600   | callers' requests |
      | 600   | targets' answers  |
      | 600   | server entries    |
      | 600   | configurations    |
      | 600   | header fields     |
      | 600   | settings files    |

  Scenario: hints of any content leave the fleet as it is
    When 600 datagrams reach the load exchange
    Then no target was added or lost

  Scenario: events are the same however a stream is cut into parts
    When 600 streams are cut at random places
    Then each gives its events, whole and in order

  Scenario: a stream that goes on elsewhere gives each event once
    When 600 streams break at random places and go on at another target
    Then each gives its events, whole and in order

  Scenario: views of the fleet of any content break nothing and never lead back
    Given a dispatcher before 2 plain targets
    When 600 views reach it while the store is lost
    Then revision and version never fell
