import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import type { DutyName } from '#duties';
import {
  createOperatorApp,
  listenForOperators,
  type NodeDutyReport,
  type NodeLossReport,
  type ResignResult,
} from '#operations';
import { encodeSubmission } from '#wire';
import { sampleJob } from '#testkit';
import { execute, FAILURE_EXIT, USAGE_EXIT } from './index.js';

/** A node whose state service shows an epoch below one that it has shown before. */
const LOSS: NodeLossReport = {
  member: 'node-2',
  loss: {
    state: 'frozen',
    sinceS: 12.5,
    falseAlarms: 1,
    seen: { epoch: 431, token: 7, positions: { lead: 3 } },
    evidence: [
      {
        source: 'own requests',
        contradiction: { kind: 'epoch_went_back', known: 431, shown: 9 },
        text: 'own requests: epoch 9 is shown, 431 was seen',
      },
    ],
  },
};

const REPORT: NodeDutyReport = {
  member: 'node-1',
  membership: 'member',
  knowledgeAgeS: 0.4,
  duties: [
    {
      ...{ duty: 'lead', state: 'held', holder: 'node-1', term: 41, sinceS: 12.5, leaseLeftS: 2.4 },
      openIntents: { rentals: ['hire-1-41-1'], returns: ['n-000003', 'n-000004'] },
      lastRefused: { action: 'deal shares', reason: 'the duty has changed hands', term: 38, ageS: 90 },
    },
    {
      ...{ duty: 'share/0', state: 'held', holder: 'node-2', term: 40, sinceS: 12.5, leaseLeftS: null },
      ...{ openIntents: null, lastRefused: null },
    },
  ],
};

interface Run {
  code: number;
  out: string[];
  errors: string[];
}

async function run(...args: string[]): Promise<Run> {
  const out: string[] = [];
  const errors: string[] = [];
  const code = await execute(
    args,
    (line) => out.push(line),
    (line) => errors.push(line),
  );
  return { code, out, errors };
}

/** A listener over a node that reports {@link REPORT} and hands over the lead only. */
async function withListener(act: (address: string, resigned: DutyName[]) => Promise<void>): Promise<void> {
  const resigned: DutyName[] = [];
  const resign = (duty: DutyName): Promise<ResignResult> => {
    resigned.push(duty);
    const reason = 'share/1 is not held here: node-2 holds it';
    return Promise.resolve(duty === 'lead' ? { kind: 'handed_over' } : { kind: 'refused', reason });
  };
  const unexpected = (cause: unknown): void => {
    throw cause;
  };
  const app = createOperatorApp({ dutyReport: () => REPORT, lossReport: () => LOSS, resign }, unexpected);
  const server = await listenForOperators(app, '127.0.0.1:0');
  try {
    await act(`127.0.0.1:${portOf(server)}`, resigned);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Sends bytes as they are and returns what comes back until the connection ends. */
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

const CLOSED = '127.0.0.1:1';

test('the duties are shown with holder, term, lease, open intents and the last refusal, and silent nodes named', async () => {
  await withListener(async (address) => {
    const { code, out } = await run('duties', '--node', address, CLOSED);
    assert.equal(code, 0);
    const text = out.join('\n');
    for (const part of ['lead', 'node-1', '41', '2.4 s', '1 rentals, 2 returns', 'term 38', '0.4 s old']) {
      assert.ok(text.includes(part), `${part} is missing in ${text}`);
    }
    assert.match(text, /127\.0\.0\.1:1: no answer \(.*ECONNREFUSED/);
    const json = await run('duties', '--json', '--node', address, CLOSED);
    const value = JSON.parse(json.out.join('\n')) as { nodes: unknown[]; silent: { node: string }[] };
    assert.deepEqual(value.nodes, [{ node: address, ...REPORT }]);
    assert.deepEqual(
      value.silent.map((s) => s.node),
      [CLOSED],
    );
  });
});

test('a duty is handed over, or the reason is told why it is not', async () => {
  await withListener(async (address, resigned) => {
    assert.deepEqual(await run('duties', 'resign', 'lead', '--node', address), {
      ...{ code: 0, out: ['lead was handed over'], errors: [] },
    });
    const refused = await run('duties', 'resign', 'share/1', '--node', address);
    assert.equal(refused.code, FAILURE_EXIT);
    assert.match(refused.errors.join(), /share\/1 was not handed over: .*node-2 holds it/);
    assert.deepEqual(resigned, ['lead', 1]);
    assert.equal((await run('duties', 'resign', 'lead', '--node', CLOSED)).code, FAILURE_EXIT);
  });
});

test('wrong usage ends with exit code 2 and one line that says what to do', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'micaworks-cli-'));
  const write = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const xml = (listen: string): string =>
    `<micaworks><operations><listen>${listen}</listen></operations></micaworks>`;
  const wrongXml = ['nowhere', '127.0.0.1', '127.0.0.1:0', '127.0.0.1:99999', '999.0.0.1:80', ''].map(
    (listen, i) => ['check', '--operator', write(`listen-${i}.xml`, xml(listen))],
  );
  const flag = '<micaworks><operations><handOverOnStop>perhaps</handOverOnStop></operations></micaworks>';
  const noTeam = { ...encodeSubmission(sampleJob('j-1')), Crew: null };
  const cases: string[][] = [
    ...wrongXml,
    ['check', '--operator', write('flag.xml', flag)],
    [],
    ['frobnicate'],
    ['duties', '--node', 'nowhere'],
    ['duties', '--frob'],
    ['duties', 'resign', 'lead'],
    ['duties', 'resign', 'everything', '--node', CLOSED],
    ['duties', 'resign', 'share/x', '--node', CLOSED],
    ['check'],
    ['check', '--config', join(folder, 'missing.toml')],
    ['check', '--operator', write('cut.xml', '<micaworks><round>')],
    ['run'],
    ['run', '--config', write('wrong.toml', 'member = 1')],
    ['submit', join(folder, 'missing.json')],
    ['submit', write('cut.json', '{"Uid":')],
    ['submit', write('no-team.json', JSON.stringify(noTeam))],
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

test('help, version and a usable file end with exit code 0', async () => {
  const example = new URL('../../deploy/operator.example.xml', import.meta.url).pathname;
  for (const args of [['--help'], ['--version'], ['duties', '--help'], ['check', '--operator', example]]) {
    const { code, out } = await run(...args);
    assert.equal(code, 0, args.join(' '));
    assert.ok(out.length > 0, args.join(' '));
  }
});

test('a job is submitted, shown and withdrawn over the wire package', async () => {
  const { decode, encode, encodeJobState } = await import('#wire');
  const seen: string[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = chunks.length > 0 ? (decode(Buffer.concat(chunks)) as { Uid: string }) : null;
      seen.push(`${request.method} ${request.url} ${body?.Uid ?? ''}`.trim());
      const status = request.url?.endsWith('/withdraw') === true ? 'cancelled' : 'pending';
      const isKnown = request.url !== '/submissions/j-404';
      response.statusCode = isKnown ? 200 : 404;
      response.end(encode(isKnown ? encodeJobState({ id: 'j-7', status }) : { error: 'no such job' }));
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
    const missing = await run('show', 'j-404', '--node', address);
    assert.equal(missing.code, FAILURE_EXIT);
    assert.match(missing.errors.join(), /404: no such job/);
    assert.deepEqual(seen.slice(0, 3), [
      ...['POST /submissions j-7', 'GET /submissions/j-7', 'POST /submissions/j-7/withdraw'],
    ]);
  } finally {
    server.closeAllConnections();
    server.close();
    rmSync(folder, { recursive: true });
  }
});

test('hostile and half-written requests to the listener are refused and end nothing', async () => {
  await withListener(async (address, resigned) => {
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
      // Says that more comes, and goes away.
      [post('{"duty":', 500), /^$/],
    ];
    for (const [bytes, answer] of cases) assert.match(await sendRaw(address, bytes, 500), answer);
    assert.deepEqual(resigned, []);
    // More idle connections than it takes: it drops the rest, and serves again once they are gone.
    const idle = [...Array(20).keys()].map(() => sendRaw(address, 'GET /duties HTTP/1.1\r\n', 300));
    await Promise.all(idle);
    assert.equal((await run('duties', '--node', address)).code, 0);
  });
});
