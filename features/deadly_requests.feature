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

  Scenario Outline: a common request whose connections were reset by targets that live is answered
    Given two entries that exchange hints before 6 app servers and 1 llm servers
    When callers get /read/1 and each app server resets its connection, <rounds> times a second apart, with writes in between
    Then no app server crashed and each write between was answered
    And the next 6 gets of /read/1 are answered

    Examples:
      | rounds |
      | 4      |
      | 6      |

  Scenario: a request that targets answer with 404 between lost connections is not blamed
    Given two entries that exchange hints before 6 app servers and 1 llm servers
    When 4 times two connections of a get of /read/1 are lost, and 4 more such gets are answered with 404
    Then each get in between was answered with 404

  Scenario: a request is told from sound ones that share all its parts and go on being answered
    Given 3 entries that exchange hints
    When 1 targets crash one after another while a request with the parts shared request:deadly is unanswered
    And a request with the parts shared request:own is answered at entry 0
    And 1 targets crash one after another while a request with the parts shared request:deadly is unanswered
    And a request with the parts shared request:more is answered at entry 1
    And 1 targets crash one after another while a request with the parts shared request:deadly is unanswered
    Then requests with the parts shared request:deadly are refused at every entry
    And requests with the parts shared request:own; shared request:new are served at every entry

  Scenario Outline: a sound request that was at the same crashes as a deadly one is told from it
    Given 3 entries that exchange hints
    When 3 targets crash, <deadly> 60 ms after it was sent and <victim> 900 ms after
    Then requests with the parts <deadly> are refused at every entry
    And requests with the parts <victim> are served at every entry

    Examples:
      | deadly    | victim    |
      | request:a | request:b |
      | request:b | request:a |

  Scenario: a common request that was at each crash and is answered between them is not blamed
    Given 3 entries that exchange hints
    When a request with the parts request:common is answered at entry 2
    And 3 targets crash one after another while requests with the parts request:deadly and in turn with the parts request:common wait
    And a request with the parts request:common is answered at entry 0
    Then requests with the parts request:deadly are refused at every entry
    And requests with the parts request:common are served at every entry

  Scenario: an entry that has just started refuses a request by what the others tell
    Given 3 entries that exchange hints
    When 3 targets crash one after another while a request with the parts request:deadly is unanswered
    And after 60 seconds another entry starts
    Then requests with the parts request:deadly are refused at every entry

  Scenario Outline: in generated histories a request that is deadly as a whole is refused and others are not
    When <seeds> histories of <entries> entries are played with <deadly> of 100 requests deadly as a whole and <others> other crashes in ten seconds
    Then at most 3 sends of each deadly request are later than 3 seconds after its third crash
    And at most 1 of 100 sound requests are refused

    Examples:
      | seeds | entries | deadly | others |
      | 20    | 3       | 5      | 0      |
      | 20    | 3       | 1      | 3      |
      | 10    | 3       | 25     | 10     |
      | 3     | 30      | 5      | 10     |

  Scenario Outline: in generated histories without a deadly request no whole request is refused
    When <seeds> histories of <entries> entries are played with 0 of 100 requests deadly as a whole and <others> other crashes in ten seconds
    Then at most 1 of 100 sound requests are refused

    Examples:
      | seeds | entries | others |
      | 20    | 3       | 10     |
      | 10    | 3       | 40     |
      | 3     | 30      | 20     |
