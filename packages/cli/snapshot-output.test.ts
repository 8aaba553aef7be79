/** What `micaworks snapshot` prints, to the letter: scripts of the operators read these lines. */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { gzipSync } from 'node:zlib';
import { sampleJob } from '#testkit';
import { answerAlways, CLOSED, folderFor, listen, run } from './command-test-support.js';

const HEADER = {
  kind: 'header',
  format: 'micaworks-snapshot',
  version: 1,
  member: 'node-2',
  nodes: ['node-1', 'node-2'],
  takenAt: 1_700_000_000_123,
  epoch: 431,
  token: 7,
  positions: { lead: 3, '0': 12 },
  loss: 'frozen',
};

/** A snapshot with a line of every kind, and rows of every kind that is counted. */
const SNAPSHOT: readonly object[] = [
  HEADER,
  { kind: 'type', type: { name: 'small' } },
  { kind: 'job', id: 'j-1', at: 5, spec: sampleJob('j-1') },
  { kind: 'final', id: 'j-0', status: 'done' },
  { kind: 'ledger', row: ['t', 1_000] },
  { kind: 'ledger', row: ['n', 'small', 'east', 'blue'] },
  { kind: 'ledger', row: ['h', 'n-1', 0, 1, 0, 0, 0] },
  { kind: 'ledger', row: ['q', { id: 'hire-1-41-1' }] },
  { kind: 'ledger', row: ['p', 0, 'small', 1, 0, 1] },
  {
    kind: 'ledger',
    row: [
      's',
      'j-1',
      2,
      0,
      1_024,
      [2, 0, 4],
      [
        [0, 0, 1],
        [1, 0, 1],
      ],
    ],
  },
  { kind: 'ledger', row: ['d', 'j-1', '2'] },
];

/** Lines as text, with the trailer that belongs to them. */
function textOf(lines: readonly object[], hasAllFinals: boolean): string {
  const body = lines.map((line) => `${JSON.stringify(line)}\n`).join('');
  const sha256 = createHash('sha256').update(body).digest('hex');
  return `${body}${JSON.stringify({ kind: 'trailer', lines: lines.length, sha256, hasAllFinals })}\n`;
}

test('snapshot prints one of these lines', async (t) => {
  const folder = folderFor(t);
  const sending = (text: string): Promise<string> =>
    listen(t, {
      async *snapshot() {
        await Promise.resolve();
        yield text;
      },
    });
  const whole = await sending(textOf(SNAPSHOT, true));
  const partial = await sending(textOf(SNAPSHOT, false));
  const cut = await sending(textOf(SNAPSHOT, true).slice(0, 900));
  const empty = await listen(t);
  const strange = await answerAlways(t, 502, 'a proxy');
  const names = { [folder]: 'FOLDER', [empty]: 'EMPTY', [strange]: 'STRANGE' };
  const file = join(folder, 'state.snapshot');
  const take = (node: string, ...options: string[]): Promise<string[]> =>
    run(['snapshot', file, ...options, '--node', node], names);
  assert.deepEqual(await take(whole), [
    'exit 0',
    'FOLDER/state.snapshot: epoch 431, 1 jobs, 2 tasks on machines',
  ]);
  assert.deepEqual(await take(whole), [
    'exit 2',
    '! micaworks: FOLDER/state.snapshot: there is such a file; --force replaces it',
  ]);
  assert.deepEqual(await take(partial, '--force'), [
    'exit 0',
    'FOLDER/state.snapshot: epoch 431, 1 jobs, 2 tasks on machines',
    'FOLDER/state.snapshot: the state service did not give all final answers',
  ]);
  assert.deepEqual(await take(cut, '--force'), [
    'exit 1',
    '! micaworks: FOLDER/state.snapshot.partial: truncated: the file ends after 9 lines, without a trailer',
  ]);
  assert.deepEqual(await take(empty, '--force'), [
    'exit 1',
    '! micaworks: EMPTY: this node holds no copy of the state yet',
  ]);
  assert.deepEqual(await take(strange, '--force'), [
    'exit 1',
    '! micaworks: STRANGE: the node responded with status 502',
  ]);
  assert.deepEqual(await take(CLOSED, '--force'), [
    'exit 1',
    '! micaworks: 127.0.0.1:1: connect ECONNREFUSED 127.0.0.1:1',
  ]);
  assert.equal(existsSync(`${file}.partial`), false);
});

test('snapshot verify and show print these lines', async (t) => {
  const folder = folderFor(t);
  const write = (name: string, bytes: Buffer | string): string => {
    writeFileSync(join(folder, name), bytes);
    return join(folder, name);
  };
  const names = { [folder]: 'FOLDER' };
  const on = (command: string, file: string, ...options: string[]): Promise<string[]> =>
    run(['snapshot', command, file, ...options], names);
  const whole = write('whole', gzipSync(textOf(SNAPSHOT, true)));
  // How well it is compressed is the library's.
  const size = String(readFileSync(whole).length);
  const show = async (...options: string[]): Promise<string[]> =>
    (await on('show', whole, ...options)).map((line) => line.replace(size, 'SIZE'));
  assert.deepEqual(await on('verify', whole), ['exit 0', 'FOLDER/whole: whole; version 1, 11 lines']);
  assert.deepEqual(await show(), [
    'exit 0',
    'taken at           2023-11-14T22:13:20.123Z',
    'by                 node-2 (of node-1, node-2)',
    'lost state         frozen',
    'epoch, token       431, 7',
    'logs               0: 12, lead: 3',
    'jobs               1',
    'tasks on machines  2',
    'final answers      1',
    'machines           1',
    'open rentals       1',
    'size               SIZE bytes, 11 lines',
  ]);
  assert.deepEqual(await show('--json'), [
    'exit 0',
    '{',
    '  "header": {',
    '    "kind": "header",',
    '    "format": "micaworks-snapshot",',
    '    "version": 1,',
    '    "member": "node-2",',
    '    "nodes": [',
    '      "node-1",',
    '      "node-2"',
    '    ],',
    '    "takenAt": 1700000000123,',
    '    "epoch": 431,',
    '    "token": 7,',
    '    "positions": {',
    '      "0": 12,',
    '      "lead": 3',
    '    },',
    '    "loss": "frozen"',
    '  },',
    '  "jobs": 1,',
    '  "finals": 1,',
    '  "machines": 1,',
    '  "rentals": 1,',
    '  "tasks": 2,',
    '  "machineTypes": 1,',
    '  "lines": 11,',
    '  "hasAllFinals": true,',
    '  "positions": {',
    '    "0": 12,',
    '    "lead": 3',
    '  },',
    '  "bytes": SIZE',
    '}',
  ]);
  const bare = [{ ...HEADER, loss: null, positions: {}, nodes: [] }];
  const unwatched = await on('show', write('unwatched', gzipSync(textOf(bare, false))));
  assert.deepEqual(
    unwatched.filter((line) => !line.startsWith('size')),
    [
      'exit 0',
      'taken at           2023-11-14T22:13:20.123Z',
      'by                 node-2 (of )',
      'lost state         not watched',
      'epoch, token       431, 7',
      'logs',
      'jobs               0',
      'tasks on machines  0',
      'final answers      0, not all',
      'machines           0',
      'open rentals       0',
    ],
  );
  const text = textOf(SNAPSHOT, true);
  const faults: [name: string, bytes: Buffer | string, line: string][] = [
    ['text', 'no snapshot at all', 'foreign: the file is not compressed with gzip'],
    [
      'other',
      gzipSync('{"kind":"other"}\n'),
      'foreign: the first line is not a header of the format micaworks-snapshot',
    ],
    [
      'newer',
      gzipSync(textOf([{ ...HEADER, version: 2 }], true)),
      'newer: the file has version 2, but this program supports only up to 1',
    ],
    [
      'no-trailer',
      gzipSync(text.slice(0, text.indexOf('{"kind":"trailer"'))),
      'truncated: the file ends after 11 lines, without a trailer',
    ],
    [
      'changed',
      gzipSync(text.replace('"j-0"', '"j-9"')),
      'damaged: the line count or the checksum in the trailer does not match the lines',
    ],
  ];
  for (const [name, bytes, line] of faults) {
    const file = write(name, bytes);
    const expected = ['exit 1', `! micaworks: FOLDER/${name}: ${line}`];
    assert.deepEqual(await on('verify', file), expected);
    assert.deepEqual(await on('show', file), expected);
  }
  const missing = ['exit 2', '! micaworks: FOLDER/missing: there is no such file'];
  assert.deepEqual(await on('verify', join(folder, 'missing')), missing);
  assert.deepEqual(await on('show', join(folder, 'missing'), '--json'), missing);
});
