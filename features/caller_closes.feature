Feature: Callers that close right after their request

  Scenario Outline: the work of callers that close right after their request goes on
    Given an entry process before 1 app servers and 1 llm servers
    And all servers hang, and routes wait a minute for them
    When 100 callers send <request> and close after <delay> ms
    Then at most 2 of the requests go on at the servers

    Examples:
      | request  | delay |
      | a read   | 0     |
      | a write  | 0     |
      | a stream | 0     |
      | a read   | 1     |
      | a write  | 1     |
      | a stream | 1     |
      | a read   | 20    |
      | a stream | 100   |

  Scenario: the work of callers that close behind two pipelined requests goes on
    Given an entry process before 1 app servers and 1 llm servers
    And all servers hang, and routes wait a minute for them
    When 100 callers send two reads and close after 0 ms
    Then at most 2 of the requests go on at the servers
