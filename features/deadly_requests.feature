Feature: Requests that crash each server that begins to run them

  Scenario Outline: a request without prompt parts that crashes servers stops reaching them
    Given two entries that exchange hints before 6 app servers and 1 llm servers
    And requests to <path> with the body <body> crash servers that begin to run them
    When 14 callers send <method> <path> with the body <body> to both entries in turn
    Then 3 to 6 requests <method> <path> with the body <body> reached the servers
    And the last 6 callers were refused with 503 and reason request_quarantined

    Examples:
      | method | path       | body    |
      | POST   | /write/1   | deadly  |
      | POST   | /read/1    | deadly  |
      | GET    | /read/dead | nothing |

  Scenario: a stream that crashes servers stops reaching them though its parts are answered
    Given two entries that exchange hints before 1 app servers and 6 llm servers
    And requests to /stream/1 with the body deadly crash servers that begin to run them
    When 14 callers stream the body deadly to both entries in turn among sound ones with the same shared parts
    Then 3 to 6 requests POST /stream/1 with the body deadly reached the servers
    And the last 6 callers were refused with 503 and reason request_quarantined
    And each sound stream was answered whole

  Scenario: an entry that has just started refuses a request that crashed servers before
    Given two entries that exchange hints before 6 app servers and 1 llm servers
    And requests to /write/1 with the body deadly crash servers that begin to run them
    When 6 callers send POST /write/1 with the body deadly to both entries in turn
    And the second entry ends and another one starts
    And 4 callers send POST /write/1 with the body deadly to the entry that started last
    Then 3 to 6 requests POST /write/1 with the body deadly reached the servers
    And the last 4 callers were refused with 503 and reason request_quarantined

  Scenario: sound requests that resemble a deadly one or were there at its crashes are answered
    Given two entries that exchange hints before 6 app servers and 1 llm servers
    And requests to /write/1 with the body deadly crash servers that begin to run them
    And each app server takes 400 ms for a sound request
    When 9 callers send POST /write/1 with the body deadly while 12 callers get /read/1
    Then 3 to 6 requests POST /write/1 with the body deadly reached the servers
    And the last 4 callers were refused with 503 and reason request_quarantined
    And 3 or more crashes took a request to /read/1 along
    And each get of /read/1 was answered
    And each write to /write/1 with another body was answered
