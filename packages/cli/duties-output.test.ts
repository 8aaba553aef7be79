/** Golden tests of the output of `micaworks duties`, which operators' scripts parse. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type NodeRoleStatus } from '#operations';
import { startFixedResponseServer, CLOSED_ADDRESS, startListener, run } from './command-test-support.js';

/** Status of a node that has just started and has no information about other members. */
const NEW_NODE: NodeRoleStatus = {
  member: 'node-3',
  membership: 'joining',
  knowledgeAgeS: null,
  roles: [
    {
      roleName: 'lead',
      state: 'vacant',
      holder: null,
      term: null,
      sinceS: 0,
      leaseLeftS: null,
      openIntents: { scaleOutRequests: [], scaleInHosts: [] },
      lastRefused: null,
    },
  ],
};

test('duties prints a table of the roles as each node reports them', async (t) => {
  const nodes = [await startListener(t), await startListener(t, { roleStatus: () => NEW_NODE })];
  assert.deepEqual(await run(['duties', '--node', ...nodes, CLOSED_ADDRESS]), [
    'exit 0',
    'NODE    DUTY     STATE      HOLDER  TERM  SINCE   LEASE  OPEN                  LAST REFUSED',
    'node-1  lead     held       node-1  41    12.5 s  2.4 s  1 rentals, 2 returns  deal shares: the duty has changed hands (term 38, 90 s ago)',
    'node-1  share/0  held       node-2  40    3 s     -      -                     -',
    'node-1  share/1  vacant     -       -     0 s     -      -                     -',
    'node-1  share/2  acquiring  -       -     0.1 s   -      -                     -',
    'node-1  share/3  suspected  node-1  37    1.2 s   0.3 s  -                     -',
    'node-1  share/4  lost       -       36    100 s   -      -                     -',
    'node-1  share/5  resigning  node-1  35    0.7 s   2.4 s  -                     -',
    'node-3  lead     vacant     -       -     0 s     -      0 rentals, 0 returns  -',
    'node-1: member; what it knows is 0.4 s old',
    'node-3: joining; what it knows is never complete',
    '127.0.0.1:1: no answer (connect ECONNREFUSED 127.0.0.1:1)',
  ]);
});

test('duties --json prints the answers and the nodes that do not answer', async (t) => {
  const [first, second] = [await startListener(t), await startListener(t, { roleStatus: () => NEW_NODE })];
  const placeholders = { [first]: 'FIRST', [second]: 'SECOND' };
  assert.deepEqual(await run(['duties', '--json', '--node', first, second, CLOSED_ADDRESS], placeholders), [
    'exit 0',
    '{',
    '  "nodes": [',
    '    {',
    '      "node": "FIRST",',
    '      "member": "node-1",',
    '      "membership": "member",',
    '      "knowledgeAgeS": 0.4,',
    '      "duties": [',
    '        {',
    '          "duty": "lead",',
    '          "state": "held",',
    '          "holder": "node-1",',
    '          "term": 41,',
    '          "sinceS": 12.5,',
    '          "leaseLeftS": 2.4,',
    '          "openIntents": {',
    '            "rentals": [',
    '              "hire-1-41-1"',
    '            ],',
    '            "returns": [',
    '              "n-000003",',
    '              "n-000004"',
    '            ]',
    '          },',
    '          "lastRefused": {',
    '            "action": "deal shares",',
    '            "reason": "the duty has changed hands",',
    '            "term": 38,',
    '            "ageS": 90',
    '          }',
    '        },',
    '        {',
    '          "duty": "share/0",',
    '          "state": "held",',
    '          "holder": "node-2",',
    '          "term": 40,',
    '          "sinceS": 3,',
    '          "leaseLeftS": null,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        },',
    '        {',
    '          "duty": "share/1",',
    '          "state": "vacant",',
    '          "holder": null,',
    '          "term": null,',
    '          "sinceS": 0,',
    '          "leaseLeftS": null,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        },',
    '        {',
    '          "duty": "share/2",',
    '          "state": "acquiring",',
    '          "holder": null,',
    '          "term": null,',
    '          "sinceS": 0.1,',
    '          "leaseLeftS": null,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        },',
    '        {',
    '          "duty": "share/3",',
    '          "state": "suspected",',
    '          "holder": "node-1",',
    '          "term": 37,',
    '          "sinceS": 1.2,',
    '          "leaseLeftS": 0.3,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        },',
    '        {',
    '          "duty": "share/4",',
    '          "state": "lost",',
    '          "holder": null,',
    '          "term": 36,',
    '          "sinceS": 100,',
    '          "leaseLeftS": null,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        },',
    '        {',
    '          "duty": "share/5",',
    '          "state": "resigning",',
    '          "holder": "node-1",',
    '          "term": 35,',
    '          "sinceS": 0.7,',
    '          "leaseLeftS": 2.4,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        }',
    '      ]',
    '    },',
    '    {',
    '      "node": "SECOND",',
    '      "member": "node-3",',
    '      "membership": "joining",',
    '      "knowledgeAgeS": null,',
    '      "duties": [',
    '        {',
    '          "duty": "lead",',
    '          "state": "vacant",',
    '          "holder": null,',
    '          "term": null,',
    '          "sinceS": 0,',
    '          "leaseLeftS": null,',
    '          "openIntents": {',
    '            "rentals": [],',
    '            "returns": []',
    '          },',
    '          "lastRefused": null',
    '        }',
    '      ]',
    '    }',
    '  ],',
    '  "silent": [',
    '    {',
    '      "node": "127.0.0.1:1",',
    '      "reason": "connect ECONNREFUSED 127.0.0.1:1"',
    '    }',
    '  ]',
    '}',
  ]);
});

test('duties fails if no node gives a valid answer, and prints the reason for each node', async (t) => {
  const text = await startFixedResponseServer(t, 200, 'no JSON');
  const number = await startFixedResponseServer(t, 200, '7');
  const error = await startFixedResponseServer(t, 500, '{"error":"internal error"}');
  const long = await startFixedResponseServer(t, 200, 'x'.repeat(5 * 1024 * 1024));
  const placeholders = { [text]: 'TEXT', [number]: 'NUMBER', [error]: 'ERROR', [long]: 'LONG' };
  const nodes = ['--node', text, number, error, long, CLOSED_ADDRESS];
  assert.deepEqual(await run(['duties', ...nodes], placeholders), [
    'exit 1',
    'NODE  DUTY  STATE  HOLDER  TERM  SINCE  LEASE  OPEN  LAST REFUSED',
    'TEXT: no answer (the response is not a JSON object)',
    'NUMBER: no answer (the response is not a JSON object)',
    'ERROR: no answer (internal error)',
    'LONG: no answer (the response is longer than 4194304 bytes)',
    '127.0.0.1:1: no answer (connect ECONNREFUSED 127.0.0.1:1)',
    "! micaworks: no node answered; check that operations/listen is set in the nodes' operators' settings (XML)",
  ]);
  assert.deepEqual(await run(['duties', '--json', '--node', CLOSED_ADDRESS]), [
    'exit 1',
    '{',
    '  "nodes": [],',
    '  "silent": [',
    '    {',
    '      "node": "127.0.0.1:1",',
    '      "reason": "connect ECONNREFUSED 127.0.0.1:1"',
    '    }',
    '  ]',
    '}',
    "! micaworks: no node answered; check that operations/listen is set in the nodes' operators' settings (XML)",
  ]);
});

test('duties resign prints the result or the reason of the refusal', async (t) => {
  const accepting = await startListener(t);
  const refusing = await startListener(t, {
    resign: () => Promise.resolve({ kind: 'refused', reason: 'share/1 is not held here: node-2 holds it' }),
  });
  const failing = await startListener(t, { resign: () => Promise.reject(new Error('unforeseen')) });
  const unexpected = await startFixedResponseServer(t, 200, '{"kind":"later"}');
  const placeholders = { [failing]: 'FAILING' };
  const resign = (role: string, node: string): Promise<string[]> =>
    run(['duties', 'resign', role, '--node', node], placeholders);
  assert.deepEqual(await resign('lead', accepting), ['exit 0', 'lead was handed over']);
  assert.deepEqual(await resign('share/12', accepting), ['exit 0', 'share/12 was handed over']);
  assert.deepEqual(await resign('share/1', refusing), [
    'exit 1',
    '! micaworks: share/1 was not handed over: share/1 is not held here: node-2 holds it',
  ]);
  assert.deepEqual(await resign('lead', failing), [
    'exit 1',
    '! micaworks: FAILING: internal error; the log of the node says more',
  ]);
  assert.deepEqual(await resign('lead', unexpected), [
    'exit 1',
    '! micaworks: lead was not handed over: no reason given',
  ]);
  assert.deepEqual(await resign('lead', CLOSED_ADDRESS), [
    'exit 1',
    '! micaworks: 127.0.0.1:1: connect ECONNREFUSED 127.0.0.1:1',
  ]);
});
