/** Tests of the commands against operators' listeners and HTTP servers on loopback. */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { gzipSync } from 'node:zlib';
import type { RoleName } from '#roles';
import {
  createOperatorApp,
  listenForOperators,
  type NodeRoleStatus,
  type NodeDataLossStatus,
  type ResignResult,
} from '#operations';
import { encodeSubmission } from '#wire';
import { sampleJob } from '#testkit';
import { execute, FAILURE_EXIT, USAGE_EXIT } from './index.js';

/** Status of a node that has read a lower revision from the state service than before. */
const DATA_LOSS_STATUS: NodeDataLossStatus = {
  member: 'node-2',
  dataLoss: {
    state: 'frozen',
    sinceS: 12.5,
    falseAlarms: 1,
    seen: { revision: 431, fencingToken: 7, positions: { lead: 3 } },
    evidence: [
      {
        source: 'own requests',
        inconsistency: { kind: 'revision_regressed', observed: 431, shown: 9 },
        text: 'own requests: epoch 9 is shown, 431 was seen',
      },
    ],
  },
};

const ROLE_STATUS: NodeRoleStatus = {
  member: 'node-1',
  membership: 'member',
  knowledgeAgeS: 0.4,
  roles: [
    {
      roleName: 'lead',
      state: 'held',
      holder: 'node-1',
      term: 41,
      sinceS: 12.5,
      leaseLeftS: 2.4,
      openIntents: { scaleOutRequests: ['hire-1-41-1'], scaleInHosts: ['n-000003', 'n-000004'] },
      lastRefused: { action: 'deal shares', reason: 'the duty has changed hands', term: 38, ageS: 90 },
    },
    {
      roleName: 'share/0',
      state: 'held',
      holder: 'node-2',
      term: 40,
      sinceS: 12.5,
      leaseLeftS: null,
      openIntents: null,
      lastRefused: null,
    },
  ],
};

interface CommandResult {
  code: number;
  out: string[];
  errors: string[];
}

async function run(...args: string[]): Promise<CommandResult> {
  const out: string[] = [];
  const errors: string[] = [];
  const code = await execute(
    args,
    (line) => out.push(line),
    (line) => errors.push(line),
  );
  return { code, out, errors };
}

/** Lines of a snapshot with one job, one terminal status of another job, and one machine. */
const SNAPSHOT = [
  {
    kind: 'header',
    format: 'micaworks-snapshot',
    version: 1,
    member: 'node-2',
    nodes: ['node-1', 'node-2'],
    takenAt: 1_000,
    epoch: 431,
    token: 7,
    positions: { lead: 3 },
    loss: 'frozen',
  },
  { kind: 'job', id: 'j-1', at: 5, spec: sampleJob('j-1') },
  { kind: 'final', id: 'j-0', status: 'done' },
  { kind: 'ledger', row: ['h', 'n-1', 0, 1, 0, 0, 0] },
];

/** Yields the lines as text, followed by their trailer. */
function* textOf(lines: readonly object[]): Generator<string> {
  const body = lines.map((line) => `${JSON.stringify(line)}\n`);
  yield* body;
  const sha256 = createHash('sha256').update(body.join('')).digest('hex');
  yield `${JSON.stringify({ kind: 'trailer', lines: body.length, sha256, hasAllFinals: true })}\n`;
}

async function* streamSnapshot(lines: readonly object[]): AsyncGenerator<string> {
  await Promise.resolve();
  yield* textOf(lines);
}

/** Runs a test against a listener of a node that reports {@link ROLE_STATUS} and hands off only the role `lead`. */
async function withListener(
  use: (address: string, requestedRoles: RoleName[]) => Promise<void>,
): Promise<void> {
  const requestedRoles: RoleName[] = [];
  const resign = (role: RoleName): Promise<ResignResult> => {
    requestedRoles.push(role);
    const reason = 'share/1 is not held here: node-2 holds it';
    return Promise.resolve(role === 'lead' ? { kind: 'handed_over' } : { kind: 'refused', reason });
  };
  const rethrow = (cause: unknown): void => {
    throw cause;
  };
  const snapshot = (): AsyncIterable<string> => streamSnapshot(SNAPSHOT);
  const app = createOperatorApp(
    { roleStatus: () => ROLE_STATUS, dataLossStatus: () => DATA_LOSS_STATUS, snapshot, resign },
    rethrow,
  );
  const server = await listenForOperators(app, '127.0.0.1:0');
  try {
    await use(`127.0.0.1:${portOf(server)}`, requestedRoles);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Sends raw bytes and returns everything that is received until the connection is closed. */
function sendRaw(address: string, bytes: string, closeAfterMs: number): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    let text = '';
    const socket = connect(Number(port), host, () => socket.write(bytes));
    socket.on('data', (chunk) => (text += chunk.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(text);
    });
    setTimeout(() => socket.destroy(), closeAfterMs);
  });
}

/** An address at which no server listens. */
const CLOSED_ADDRESS = '127.0.0.1:1';

test('duties shows the state of each role, and names nodes that do not answer', async () => {
  await withListener(async (address) => {
    const { code, out } = await run('duties', '--node', address, CLOSED_ADDRESS);
    assert.equal(code, 0);
    const text = out.join('\n');
    for (const part of ['lead', 'node-1', '41', '2.4 s', '1 rentals, 2 returns', 'term 38', '0.4 s old']) {
      assert.ok(text.includes(part), `${part} is missing in ${text}`);
    }
    assert.match(text, /127\.0\.0\.1:1: no answer \(.*ECONNREFUSED/);
    const json = await run('duties', '--json', '--node', address, CLOSED_ADDRESS);
    const value = JSON.parse(json.out.join('\n')) as { nodes: unknown[]; silent: { node: string }[] };
    const { roles, ...others } = ROLE_STATUS;
    const duties = roles.map(({ roleName: duty, openIntents, ...role }) => {
      if (!openIntents) return { duty, openIntents, ...role };
      const { scaleOutRequests: rentals, scaleInHosts: returns, ...more } = openIntents;
      return { duty, openIntents: { rentals, returns, ...more }, ...role };
    });
    assert.deepEqual(value.nodes, [{ node: address, ...others, duties }]);
    assert.deepEqual(
      value.silent.map((s) => s.node),
      [CLOSED_ADDRESS],
    );
  });
});

test('duties resign hands off a role, or fails with the reason', async () => {
  await withListener(async (address, requestedRoles) => {
    assert.deepEqual(await run('duties', 'resign', 'lead', '--node', address), {
      code: 0,
      out: ['lead was handed over'],
      errors: [],
    });
    const refused = await run('duties', 'resign', 'share/1', '--node', address);
    assert.equal(refused.code, FAILURE_EXIT);
    assert.match(refused.errors.join(), /share\/1 was not handed over: .*node-2 holds it/);
    assert.deepEqual(requestedRoles, ['lead', 1]);
    assert.equal((await run('duties', 'resign', 'lead', '--node', CLOSED_ADDRESS)).code, FAILURE_EXIT);
  });
});

test('recover status shows the inconsistencies and returns exit code 1 while data is lost', async () => {
  await withListener(async (address) => {
    const { code, out, errors } = await run('recover', 'status', '--node', address, CLOSED_ADDRESS);
    assert.equal(code, FAILURE_EXIT);
    assert.match(out[1] ?? '', /^node-2 +frozen +12\.5 s +1 +431 +7$/);
    assert.equal(out[2], 'node-2: own requests: epoch 9 is shown, 431 was seen');
    assert.match(out[3] ?? '', /^127\.0\.0\.1:\d+: no answer/);
    assert.match(errors[0] ?? '', /lost data, detected by node-2;/);
    const json = await run('recover', 'status', '--json', '--node', address);
    const seen = { epoch: 431, token: 7, positions: { lead: 3 } };
    const evidence = [
      {
        source: 'own requests',
        contradiction: { kind: 'epoch_went_back', known: 431, shown: 9 },
        text: 'own requests: epoch 9 is shown, 431 was seen',
      },
    ];
    assert.deepEqual((JSON.parse(json.out.join('\n')) as { nodes: object[] }).nodes, [
      {
        node: address,
        member: DATA_LOSS_STATUS.member,
        loss: { ...DATA_LOSS_STATUS.dataLoss, evidence, seen },
      },
    ]);
  });
});

test('snapshot writes, verifies and shows snapshots, and names the fault of an invalid file', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'micaworks-cli-'));
  const pathOf = (name: string): string => join(folder, name);
  const compressed = gzipSync([...textOf(SNAPSHOT)].join(''));
  const [header, ...rest] = SNAPSHOT;
  const variant = (lines: readonly object[]): Buffer => gzipSync([...textOf(lines)].join(''));
  const damaged = Buffer.from(compressed);
  damaged[40] = (damaged[40] ?? 0) ^ 0xff;
  const faults: [string, Buffer | string, RegExp][] = [
    ['empty', '', /truncated|foreign/],
    ['text', 'no snapshot at all', /foreign/],
    ['other', gzipSync('{"kind":"other"}\n'), /foreign/],
    ['newer', variant([{ ...header, version: 2 }, ...rest]), /newer: the file has version 2/],
    ['unknown line', variant([...SNAPSHOT, { kind: 'future' }]), /damaged: .*unknown kind "future"/],
    ['half', compressed.subarray(0, compressed.length - 20), /truncated/],
    [
      'no trailer',
      gzipSync([...textOf(SNAPSHOT)].slice(0, -1).join('')),
      /truncated: the file ends after 4 lines/,
    ],
    [
      'changed',
      gzipSync([...textOf(SNAPSHOT)].join('').replace('"j-0"', '"j-9"')),
      /damaged: the line count or the checksum in the trailer/,
    ],
    ['longer', gzipSync(`${[...textOf(SNAPSHOT)].join('')}{"kind":"job"}\n`), /damaged: .*after its trailer/],
    ['bit', damaged, /damaged|truncated|foreign/],
  ];
  try {
    await withListener(async (address) => {
      const file = pathOf('state.snapshot');
      const taken = await run('snapshot', file, '--node', address);
      assert.deepEqual(taken, {
        code: 0,
        errors: [],
        out: [`${file}: epoch 431, 1 jobs, 0 tasks on machines`],
      });
      assert.equal((await run('snapshot', file, '--node', address)).code, USAGE_EXIT);
      assert.equal((await run('snapshot', file, '--force', '--node', address)).code, 0);
      assert.deepEqual((await run('snapshot', 'verify', file)).out, [`${file}: whole; version 1, 4 lines`]);
      const shown = await run('snapshot', 'show', file);
      assert.ok(shown.out.includes('epoch, token       431, 7'), shown.out.join('\n'));
      const json = JSON.parse((await run('snapshot', 'show', file, '--json')).out.join('')) as object;
      assert.equal((json as { machines: number }).machines, 1);
      assert.equal((await run('snapshot', pathOf('new'), '--node', CLOSED_ADDRESS)).code, FAILURE_EXIT);
      assert.equal(existsSync(pathOf('new.partial')), false);
    });
    for (const [name, bytes, fault] of faults) {
      writeFileSync(pathOf(name), bytes);
      const { code, errors } = await run('snapshot', 'verify', pathOf(name));
      assert.equal(code, FAILURE_EXIT, name);
      assert.match(errors[0] ?? '', fault, name);
    }
  } finally {
    rmSync(folder, { recursive: true });
  }
});

test('a usage error returns exit code 2 and prints one line that explains it', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'micaworks-cli-'));
  const write = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const xml = (listen: string): string =>
    `<micaworks><operations><listen>${listen}</listen></operations></micaworks>`;
  const invalidListenCases = [
    'nowhere',
    '127.0.0.1',
    '127.0.0.1:0',
    '127.0.0.1:99999',
    '999.0.0.1:80',
    '',
  ].map((listen, i) => ['check', '--operator', write(`listen-${i}.xml`, xml(listen))]);
  const flag = '<micaworks><operations><handOverOnStop>perhaps</handOverOnStop></operations></micaworks>';
  const jobWithoutTeam = { ...encodeSubmission(sampleJob('j-1')), Crew: null };
  const cases: string[][] = [
    ...invalidListenCases,
    ['check', '--operator', write('flag.xml', flag)],
    [],
    ['frobnicate'],
    ['duties', '--node', 'nowhere'],
    ['duties', '--frob'],
    ['snapshot'],
    ['snapshot', 'verify'],
    ['snapshot', 'verify', join(folder, 'missing')],
    ['snapshot', join(folder, 'new'), '--node', 'nowhere'],
    ['recover'],
    ['recover', 'frobnicate'],
    ['recover', 'status', '--node', 'nowhere'],
    ['duties', 'resign', 'lead'],
    ['duties', 'resign', 'everything', '--node', CLOSED_ADDRESS],
    ['duties', 'resign', 'share/x', '--node', CLOSED_ADDRESS],
    ['check'],
    ['check', '--config', join(folder, 'missing.toml')],
    ['check', '--operator', write('cut.xml', '<micaworks><round>')],
    ['run'],
    ['run', '--config', write('wrong.toml', 'member = 1')],
    ['submit', join(folder, 'missing.json')],
    ['submit', write('cut.json', '{"Uid":')],
    ['submit', write('no-team.json', JSON.stringify(jobWithoutTeam))],
    ['show', 'j-'],
    ['withdraw', 'everything'],
  ];
  try {
    for (const args of cases) {
      const { code, errors } = await run(...args);
      assert.equal(code, USAGE_EXIT, args.join(' '));
      assert.equal(errors.length, 1, args.join(' '));
      assert.match(errors[0] ?? '', /^micaworks: .{10,}$/, args.join(' '));
    }
  } finally {
    rmSync(folder, { recursive: true });
  }
});

test('help, version and a valid settings file return exit code 0', async () => {
  const example = new URL('../../deploy/operator.example.xml', import.meta.url).pathname;
  for (const args of [['--help'], ['--version'], ['duties', '--help'], ['check', '--operator', example]]) {
    const { code, out } = await run(...args);
    assert.equal(code, 0, args.join(' '));
    assert.ok(out.length > 0, args.join(' '));
  }
});

test('submit, show and withdraw call the HTTP interface for users and print the state of the job', async () => {
  const { decode, encode, encodeJobState } = await import('#wire');
  const requests: string[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = chunks.length > 0 ? (decode(Buffer.concat(chunks)) as { Uid: string }) : null;
      requests.push(`${request.method} ${request.url} ${body?.Uid ?? ''}`.trim());
      const status = request.url?.endsWith('/withdraw') === true ? 'cancelled' : 'pending';
      const jobExists = request.url !== '/submissions/j-404';
      response.statusCode = jobExists ? 200 : 404;
      response.end(encode(jobExists ? encodeJobState({ id: 'j-7', status }) : { error: 'no such job' }));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${portOf(server)}`;
  const folder = mkdtempSync(join(tmpdir(), 'micaworks-cli-'));
  const file = join(folder, 'job.json');
  writeFileSync(file, JSON.stringify(encodeSubmission(sampleJob('j-7'))));
  try {
    assert.deepEqual((await run('submit', file, '--node', address)).out, ['j-7: pending']);
    assert.deepEqual((await run('show', 'j-7', '--node', address)).out, ['j-7: pending']);
    assert.deepEqual((await run('withdraw', 'j-7', '--node', address)).out, ['j-7: cancelled']);
    const notFound = await run('show', 'j-404', '--node', address);
    assert.equal(notFound.code, FAILURE_EXIT);
    assert.match(notFound.errors.join(), /404: no such job/);
    assert.deepEqual(requests.slice(0, 3), [
      'POST /submissions j-7',
      'GET /submissions/j-7',
      'POST /submissions/j-7/withdraw',
    ]);
  } finally {
    server.closeAllConnections();
    server.close();
    rmSync(folder, { recursive: true });
  }
});

test('the listener rejects malformed and incomplete requests and continues to serve', async () => {
  await withListener(async (address, requestedRoles) => {
    const post = (body: string, length = body.length): string =>
      `POST /duties/resign HTTP/1.1\r\nHost: x\r\nContent-Length: ${length}\r\n\r\n${body}`;
    const cases: [string, RegExp][] = [
      [post('{"duty":"lea'), / 400 /],
      [post('null'), / 400 /],
      [post('{"duty":["lead"]}'), / 400 /],
      [post('x'.repeat(5000)), / 413 /],
      ['GET /duties/resign HTTP/1.1\r\nHost: x\r\n\r\n', / 405 /],
      ['POST /duties HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n', / 405 /],
      ['GET /../etc HTTP/1.1\r\nHost: x\r\n\r\n', / 404 /],
      ['\u0000\u0001 nonsense\r\n\r\n', / 400 /],
      // Announces a longer body than it sends, then closes the connection.
      [post('{"duty":', 500), /^$/],
    ];
    for (const [bytes, answer] of cases) assert.match(await sendRaw(address, bytes, 500), answer);
    assert.deepEqual(requestedRoles, []);
    // More idle connections than the listener accepts: it drops the others, and serves again once these are closed.
    const idle = [...Array(20).keys()].map(() => sendRaw(address, 'GET /duties HTTP/1.1\r\n', 300));
    await Promise.all(idle);
    assert.equal((await run('duties', '--node', address)).code, 0);
  });
});
