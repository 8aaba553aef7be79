/** Golden tests of the output of `micaworks recover status`, which operators' scripts parse. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type NodeDataLossStatus } from '#operations';
import { CLOSED_ADDRESS, startListener, run, SERVING_STATUS } from './command-test-support.js';

const FROZEN: NodeDataLossStatus = {
  member: 'node-2',
  dataLoss: {
    state: 'frozen',
    sinceS: 12.5,
    evidence: [
      {
        source: 'own requests',
        inconsistency: { kind: 'revision_regressed', observed: 431, shown: 9 },
        text: 'own requests: epoch 9 is shown, 431 was seen',
      },
      {
        source: 'worker n-000001',
        inconsistency: { kind: 'log_regressed', log: '0', observed: 12, shown: 0 },
        text: 'worker n-000001: log 0 ends at 0, record 12 was seen',
      },
    ],
    falseAlarms: 1,
    seen: { revision: 431, fencingToken: 7, positions: { '0': 12, lead: 3 } },
  },
};

const NOTICED: NodeDataLossStatus = {
  member: 'node-3',
  dataLoss: {
    state: 'noticed',
    sinceS: 0.2,
    evidence: [
      {
        source: 'own watch',
        inconsistency: { kind: 'key_missing', key: 'mw/now/token' },
        text: 'own watch: mw/now/token is gone, and no node removes it',
      },
    ],
    falseAlarms: 0,
    seen: { revision: 431, fencingToken: 7, positions: {} },
  },
};

const NOT_WATCHED: NodeDataLossStatus = { member: 'node-4', dataLoss: null };

test('recover status prints the nodes and their evidence, and fails if one has detected data loss', async (t) => {
  const nodes: string[] = [];
  for (const report of [FROZEN, SERVING_STATUS, NOTICED, NOT_WATCHED]) {
    nodes.push(await startListener(t, { dataLossStatus: () => report }));
  }
  assert.deepEqual(await run(['recover', 'status', '--node', ...nodes, CLOSED_ADDRESS]), [
    'exit 1',
    'NODE    STATE        SINCE   FALSE ALARMS  HIGHEST EPOCH  HIGHEST TOKEN',
    'node-2  frozen       12.5 s  1             431            7',
    'node-1  serving      100 s   0             432            0',
    'node-3  noticed      0.2 s   0             431            7',
    'node-4  not watched  -       -             -              -',
    'node-2: own requests: epoch 9 is shown, 431 was seen',
    'node-2: worker n-000001: log 0 ends at 0, record 12 was seen',
    'node-3: own watch: mw/now/token is gone, and no node removes it',
    '127.0.0.1:1: no answer (connect ECONNREFUSED 127.0.0.1:1)',
    '! micaworks: the state service has lost data, detected by node-2, node-3; see docs/operations/recovery.md',
  ]);
  const [, serving = '', , unwatched = ''] = nodes;
  assert.deepEqual(await run(['recover', 'status', '--node', serving, unwatched]), [
    'exit 0',
    'NODE    STATE        SINCE  FALSE ALARMS  HIGHEST EPOCH  HIGHEST TOKEN',
    'node-1  serving      100 s  0             432            0',
    'node-4  not watched  -      -             -              -',
  ]);
  assert.deepEqual(await run(['recover', 'status', '--node', CLOSED_ADDRESS]), [
    'exit 1',
    'NODE  STATE  SINCE  FALSE ALARMS  HIGHEST EPOCH  HIGHEST TOKEN',
    '127.0.0.1:1: no answer (connect ECONNREFUSED 127.0.0.1:1)',
    "! micaworks: no node answered; check that operations/listen is set in the nodes' operators' settings (XML)",
  ]);
});

test('recover status --json prints the answers and the nodes that do not answer', async (t) => {
  const frozen = await startListener(t, { dataLossStatus: () => FROZEN });
  const unwatched = await startListener(t, { dataLossStatus: () => NOT_WATCHED });
  const placeholders = { [frozen]: 'FROZEN', [unwatched]: 'UNWATCHED' };
  assert.deepEqual(
    await run(['recover', 'status', '--json', '--node', frozen, unwatched, CLOSED_ADDRESS], placeholders),
    [
      'exit 1',
      '{',
      '  "nodes": [',
      '    {',
      '      "node": "FROZEN",',
      '      "member": "node-2",',
      '      "loss": {',
      '        "state": "frozen",',
      '        "sinceS": 12.5,',
      '        "evidence": [',
      '          {',
      '            "source": "own requests",',
      '            "contradiction": {',
      '              "kind": "epoch_went_back",',
      '              "known": 431,',
      '              "shown": 9',
      '            },',
      '            "text": "own requests: epoch 9 is shown, 431 was seen"',
      '          },',
      '          {',
      '            "source": "worker n-000001",',
      '            "contradiction": {',
      '              "kind": "log_went_back",',
      '              "log": "0",',
      '              "known": 12,',
      '              "shown": 0',
      '            },',
      '            "text": "worker n-000001: log 0 ends at 0, record 12 was seen"',
      '          }',
      '        ],',
      '        "falseAlarms": 1,',
      '        "seen": {',
      '          "epoch": 431,',
      '          "token": 7,',
      '          "positions": {',
      '            "0": 12,',
      '            "lead": 3',
      '          }',
      '        }',
      '      }',
      '    },',
      '    {',
      '      "node": "UNWATCHED",',
      '      "member": "node-4",',
      '      "loss": null',
      '    }',
      '  ],',
      '  "silent": [',
      '    {',
      '      "node": "127.0.0.1:1",',
      '      "reason": "connect ECONNREFUSED 127.0.0.1:1"',
      '    }',
      '  ]',
      '}',
      '! micaworks: the state service has lost data, detected by node-2; see docs/operations/recovery.md',
    ],
  );
  const serving = await startListener(t, { dataLossStatus: () => SERVING_STATUS });
  assert.deepEqual(await run(['recover', 'status', '--json', '--node', serving], { [serving]: 'SERVING' }), [
    'exit 0',
    '{',
    '  "nodes": [',
    '    {',
    '      "node": "SERVING",',
    '      "member": "node-1",',
    '      "loss": {',
    '        "state": "serving",',
    '        "sinceS": 100,',
    '        "evidence": [],',
    '        "falseAlarms": 0,',
    '        "seen": {',
    '          "epoch": 432',
    '        }',
    '      }',
    '    }',
    '  ],',
    '  "silent": []',
    '}',
  ]);
});
