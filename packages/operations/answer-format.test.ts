/** Golden tests of the responses of the operators' listener, to the byte: operators' tools read these texts. */
import assert from 'node:assert/strict';
import { request, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import type { Logger, Membership, StateReading } from '#cluster';
import {
  type RoleHolder,
  type RoleName,
  RoleRegistry,
  type IntentLedger,
  type MachineRecord,
  type ScaleOutRecord,
  roleStatuses,
} from '#roles';
import { DataLossDetector, type DataLossStatus } from '#recovery';
import { type Clock, type Micros, SECOND } from '#wire';
import {
  requestRoleStatus,
  requestDataLossStatus,
  requestResignation,
  createOperatorApp,
  listenForOperators,
  type NodeRoleStatus,
  type NodeOperations,
  openSnapshot,
} from './index.js';

/** A clock whose time changes only when a test sets it. */
class ManualClock implements Clock {
  time: Micros = 0;

  now(): Micros {
    return this.time;
  }

  wall(): Micros {
    return this.time;
  }

  after(): { cancel: () => void } {
    return { cancel: () => undefined };
  }
}

const NO_LOG: Logger = { debug: () => undefined, info: () => undefined, error: () => undefined };

const NO_INTENTS: IntentLedger = { pendingScaleOuts: new Map(), machines: new Map() };

const SCALE_OUTS: readonly ScaleOutRecord[] = [
  { id: 'hire-1-41-1', machineType: 'small', zone: 'east', spot: true, count: 2 },
];

const MACHINES: readonly MachineRecord[] = [
  { host: 'n-000003', shard: 0, destination: 'scale_in' },
  { host: 'n-000004', shard: null, destination: 'scale_in' },
  { host: 'n-000005', shard: 0, destination: 1 },
];

const INTENTS: IntentLedger = {
  pendingScaleOuts: new Map(SCALE_OUTS.map((scaleOut) => [scaleOut.id, scaleOut])),
  machines: new Map(MACHINES.map((machine) => [machine.host, machine])),
};

/** Returns a registry over the holders that a test sets. Roles that the registry's node holds have the nonce `ours`. */
function registryOver(clock: Clock, holders: ReadonlyMap<RoleName, RoleHolder>): RoleRegistry {
  return new RoleRegistry({
    source: { holders: () => holders, isOurs: (nonce) => nonce === 'ours' },
    clock,
    keyOf: (role) => `key of ${role}`,
    leaseDuration: 3 * SECOND,
  });
}

const OWN_HOLDER = { member: 'node-1', nonce: 'ours' };
const OTHER_HOLDER = { member: 'node-2', nonce: 'other' };

const DEFAULT_NODE: NodeOperations = {
  roleStatus: () => ({ member: 'node-1', membership: 'member', knowledgeAgeS: 0.4, roles: [] }),
  dataLossStatus: () => ({ member: 'node-1', dataLoss: null }),
  snapshot: () => null,
  resign: () => Promise.resolve({ kind: 'handed_over' }),
};

/** Runs `act` against a listener on the node, and returns the errors that the listener reported, as text. */
async function withListener(
  node: Partial<NodeOperations>,
  act: (address: string) => Promise<void>,
): Promise<string[]> {
  const reported: string[] = [];
  const app = createOperatorApp({ ...DEFAULT_NODE, ...node }, (cause) => reported.push(String(cause)));
  const server = await listenForOperators(app, '127.0.0.1:0');
  try {
    await act(`127.0.0.1:${portOf(server)}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
  return reported;
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

interface RequestToSend {
  address: string;
  method: string;
  path: string;
  body?: string;
}

/** Sends a request; returns status, content type, `Connection` header and body of the response. */
function sendRequest({ address, method, path, body }: RequestToSend): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const clientRequest = request({ host, port: Number(port), method, path }, (response) => {
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString()));
      response.on('end', () => {
        const { statusCode, headers } = response;
        resolve(`${statusCode} ${headers['content-type']} ${headers.connection}\n${text}`);
      });
    });
    clientRequest.on('error', reject);
    clientRequest.end(body);
  });
}

/** Returns the response of a listener on the node to a `GET` request. */
async function responseOf(node: Partial<NodeOperations>, path: string): Promise<string> {
  let response = '';
  const reported = await withListener(node, async (address) => {
    response = await sendRequest({ address, method: 'GET', path });
  });
  assert.deepEqual(reported, []);
  return response;
}

test('GET /duties shows every state of a role', async () => {
  const clock = new ManualClock();
  const holders = new Map<RoleName, RoleHolder>([
    ['lead', { ...OWN_HOLDER, term: 41 }],
    [0, { ...OTHER_HOLDER, term: 40 }],
    [3, { ...OWN_HOLDER, term: 38 }],
    [4, { ...OWN_HOLDER, term: 39 }],
  ]);
  const registry = registryOver(clock, holders);
  registry.onLeaseRenewed(0);
  registry.state(1);
  registry.beginAcquisition(2);
  const termProof = registry.proveHeld(3);
  assert.ok(termProof);
  registry.recordRefusal(termProof, 'place tasks', 'the state service: the duty has changed hands');
  assert.ok(registry.resign(4));
  clock.time = 1.25 * SECOND;
  holders.delete(3);
  const roles = (): NodeOperations['roleStatus'] => () => ({
    member: 'node-1',
    membership: 'member',
    knowledgeAgeS: 0.4,
    roles: roleStatuses(registry, INTENTS, clock.now()),
  });
  assert.equal(
    await responseOf({ roleStatus: roles() }, '/duties'),
    '200 application/json; charset=utf-8 close\n{"member":"node-1","membership":"member","knowledgeAgeS":0.4,"duties":[{"duty":"lead","state":"held","holder":"node-1","term":41,"sinceS":1.3,"leaseLeftS":1.8,"openIntents":{"rentals":["hire-1-41-1"],"returns":["n-000003","n-000004"]},"lastRefused":null},{"duty":"share/0","state":"held","holder":"node-2","term":40,"sinceS":1.3,"leaseLeftS":null,"openIntents":null,"lastRefused":null},{"duty":"share/1","state":"vacant","holder":null,"term":null,"sinceS":1.3,"leaseLeftS":null,"openIntents":null,"lastRefused":null},{"duty":"share/2","state":"acquiring","holder":null,"term":null,"sinceS":1.3,"leaseLeftS":null,"openIntents":null,"lastRefused":null},{"duty":"share/3","state":"lost","holder":null,"term":38,"sinceS":0,"leaseLeftS":null,"openIntents":null,"lastRefused":{"action":"place tasks","reason":"the state service: the duty has changed hands","term":38,"ageS":1.3}},{"duty":"share/4","state":"resigning","holder":"node-1","term":39,"sinceS":1.3,"leaseLeftS":1.8,"openIntents":null,"lastRefused":null}]}',
  );
  clock.time = 60 * SECOND;
  assert.equal(
    await responseOf({ roleStatus: roles() }, '/duties'),
    '200 application/json; charset=utf-8 close\n{"member":"node-1","membership":"member","knowledgeAgeS":0.4,"duties":[{"duty":"lead","state":"suspected","holder":"node-1","term":41,"sinceS":0,"leaseLeftS":0,"openIntents":{"rentals":["hire-1-41-1"],"returns":["n-000003","n-000004"]},"lastRefused":null},{"duty":"share/0","state":"held","holder":"node-2","term":40,"sinceS":60,"leaseLeftS":null,"openIntents":null,"lastRefused":null},{"duty":"share/1","state":"vacant","holder":null,"term":null,"sinceS":60,"leaseLeftS":null,"openIntents":null,"lastRefused":null},{"duty":"share/2","state":"acquiring","holder":null,"term":null,"sinceS":60,"leaseLeftS":null,"openIntents":null,"lastRefused":null},{"duty":"share/3","state":"lost","holder":null,"term":38,"sinceS":58.8,"leaseLeftS":null,"openIntents":null,"lastRefused":{"action":"place tasks","reason":"the state service: the duty has changed hands","term":38,"ageS":60}},{"duty":"share/4","state":"resigning","holder":"node-1","term":39,"sinceS":60,"leaseLeftS":0,"openIntents":null,"lastRefused":null}]}',
  );
});

test('GET /duties shows a node that knows no role holders and no open intents', async () => {
  const clock = new ManualClock();
  const registry = registryOver(clock, new Map());
  registry.state('lead');
  const status: NodeRoleStatus = {
    member: 'node-3',
    membership: 'joining',
    knowledgeAgeS: null,
    roles: roleStatuses(registry, NO_INTENTS, clock.now()),
  };
  assert.equal(
    await responseOf({ roleStatus: () => status }, '/duties'),
    '200 application/json; charset=utf-8 close\n{"member":"node-3","membership":"joining","knowledgeAgeS":null,"duties":[{"duty":"lead","state":"vacant","holder":null,"term":null,"sinceS":0,"leaseLeftS":null,"openIntents":{"rentals":[],"returns":[]},"lastRefused":null}]}',
  );
});

test('GET /duties shows each membership state', async () => {
  const memberships: [state: Membership['state'], shown: string][] = [
    ['outside', 'outside'],
    ['joining', 'joining'],
    ['member', 'member'],
    ['stopped', 'stopped'],
  ];
  for (const [membership, shown] of memberships) {
    const status = { member: 'node-1', membership, knowledgeAgeS: 0, roles: [] };
    assert.equal(
      await responseOf({ roleStatus: () => status }, '/duties'),
      `200 application/json; charset=utf-8 close\n{"member":"node-1","membership":"${shown}","knowledgeAgeS":0,"duties":[]}`,
    );
  }
});

/** Returns a data-loss detector that has accepted one reading. */
function detectorOf(clock: ManualClock): DataLossDetector {
  const detector = new DataLossDetector({
    clock,
    log: NO_LOG,
    observationLifetime: 600 * SECOND,
    peerCount: 2,
    heartbeatInterval: 3 * SECOND,
  });
  clock.time += SECOND;
  assert.ok(detector.verifyReading(readingOf(clock)));
  return detector;
}

/** Returns a reading that shows what the detector of {@link detectorOf} has observed, with the given changes. */
function readingOf(clock: Clock, change: Partial<StateReading> = {}): StateReading {
  return {
    sentAt: clock.now(),
    current: { revision: 431, fencingToken: 7, positions: { lead: 3, '0': 12 } },
    previous: null,
    differences: { forked: [], regressed: [], absent: [] },
    ...change,
  };
}

function recoveryResponse(status: DataLossStatus | null): Promise<string> {
  return responseOf({ dataLossStatus: () => ({ member: 'node-2', dataLoss: status }) }, '/recovery');
}

test('GET /recovery shows null if data-loss detection is off', async () => {
  assert.equal(
    await recoveryResponse(null),
    '200 application/json; charset=utf-8 close\n{"member":"node-2","loss":null}',
  );
});

test('GET /recovery of a serving node shows the high-water marks of the node, its workers and its peers', async () => {
  const clock = new ManualClock();
  const detector = detectorOf(clock);
  clock.time += 12.34 * SECOND;
  assert.equal(
    await recoveryResponse(detector.status()),
    '200 application/json; charset=utf-8 close\n{"member":"node-2","loss":{"state":"serving","sinceS":13.3,"evidence":[],"falseAlarms":0,"seen":{"epoch":431}}}',
  );
  detector.observeHeartbeat({
    host: 'n-000001',
    address: '10.0.0.9:9000',
    machineType: 'small',
    zone: 'east',
    spot: false,
    incarnation: 1,
    sequence: 4,
    fencingToken: 6,
    tasks: [{ task: 'j-000001/0', attempt: 1_024 * 12, state: 'running' }],
  });
  detector.observePeer('node-3', {
    fencingToken: 7,
    isStoreReachable: true,
    redirectedWorkers: {},
    highWaterMark: { revision: 430, isInconsistent: false },
  });
  assert.equal(
    await recoveryResponse(detector.status()),
    '200 application/json; charset=utf-8 close\n{"member":"node-2","loss":{"state":"serving","sinceS":13.3,"evidence":[],"falseAlarms":0,"seen":{"epoch":431,"token":7,"positions":{"0":12}}}}',
  );
});

test('GET /recovery shows the inconsistency that raised the alarm, and counts a false alarm', async () => {
  const clock = new ManualClock();
  const detector = detectorOf(clock);
  assert.equal(detector.accepts(431, 9), false);
  clock.time += 0.5 * SECOND;
  assert.equal(
    await recoveryResponse(detector.status()),
    '200 application/json; charset=utf-8 close\n{"member":"node-2","loss":{"state":"noticed","sinceS":0.5,"evidence":[{"source":"own requests","contradiction":{"kind":"epoch_went_back","known":431,"shown":9},"text":"own requests: epoch 9 is shown, 431 was seen"}],"falseAlarms":0,"seen":{"epoch":431}}}',
  );
  assert.ok(detector.verifyReading(readingOf(clock)));
  assert.equal(
    await recoveryResponse(detector.status()),
    '200 application/json; charset=utf-8 close\n{"member":"node-2","loss":{"state":"serving","sinceS":0,"evidence":[],"falseAlarms":1,"seen":{"epoch":431}}}',
  );
});

test('GET /recovery of a frozen node shows each kind of inconsistency', async () => {
  const clock = new ManualClock();
  const detector = detectorOf(clock);
  detector.observeHeartbeat({
    host: 'n-000001',
    address: '10.0.0.9:9000',
    machineType: 'small',
    zone: 'east',
    spot: false,
    incarnation: 1,
    sequence: 4,
    fencingToken: 6,
    tasks: [{ task: 'j-000001/0', attempt: 1_024 * 12, state: 'running' }],
  });
  detector.observePeer('node-3', {
    fencingToken: 7,
    isStoreReachable: true,
    redirectedWorkers: {},
    highWaterMark: { revision: 440, isInconsistent: true },
  });
  clock.time += SECOND;
  assert.ok(detector.reportLostKeys(['mw/now/token']));
  clock.time += SECOND;
  const current = { revision: 9, fencingToken: 1, positions: { lead: 1 } };
  const previous = { revision: 431, fencingToken: 7, positions: { lead: 3, '0': 12 } };
  const differences = {
    forked: ['mw/now/logs/lead/3'],
    regressed: ['mw/now/checkpoint'],
    absent: ['mw/now/jobs/j-000001'],
  };
  assert.equal(detector.verifyReading(readingOf(clock, { current, previous, differences })), false);
  assert.equal(
    await recoveryResponse(detector.status()),
    '200 application/json; charset=utf-8 close\n{"member":"node-2","loss":{"state":"frozen","sinceS":0,"evidence":[{"source":"own copy","contradiction":{"kind":"epoch_went_back","known":431,"shown":9},"text":"own copy: epoch 9 is shown, 431 was seen"},{"source":"own copy","contradiction":{"kind":"token_went_back","known":7,"shown":1},"text":"own copy: token 1 is shown, 7 was seen"},{"source":"own copy","contradiction":{"kind":"log_went_back","log":"0","known":12,"shown":0},"text":"own copy: log 0 ends at 0, record 12 was seen"},{"source":"own copy","contradiction":{"kind":"log_went_back","log":"lead","known":3,"shown":1},"text":"own copy: log lead ends at 1, record 3 was seen"},{"source":"own copy","contradiction":{"kind":"key_missing","key":"mw/now/token"},"text":"own copy: mw/now/token is gone, and no node removes it"},{"source":"own copy","contradiction":{"kind":"key_missing","key":"mw/now/jobs/j-000001"},"text":"own copy: mw/now/jobs/j-000001 is gone, and no node removes it"},{"source":"own copy","contradiction":{"kind":"key_went_back","key":"mw/now/checkpoint"},"text":"own copy: mw/now/checkpoint is older than it was"},{"source":"own copy","contradiction":{"kind":"history_forked","key":"mw/now/logs/lead/3"},"text":"own copy: mw/now/logs/lead/3 holds another record of the same number: this is another history"},{"source":"worker n-000001","contradiction":{"kind":"token_went_back","known":6,"shown":1},"text":"worker n-000001: token 1 is shown, 6 was seen"},{"source":"worker n-000001","contradiction":{"kind":"log_went_back","log":"0","known":12,"shown":0},"text":"worker n-000001: log 0 ends at 0, record 12 was seen"},{"source":"peer node-3","contradiction":{"kind":"epoch_went_back","known":440,"shown":9},"text":"peer node-3: epoch 9 is shown, 440 was seen"},{"source":"peer node-3","contradiction":{"kind":"token_went_back","known":7,"shown":1},"text":"peer node-3: token 1 is shown, 7 was seen"},{"source":"peer node-3","contradiction":{"kind":"peer_objects","known":440},"text":"peer node-3: it has seen epoch 440, and finds the state to contradict it"}],"falseAlarms":0,"seen":{"epoch":431,"token":7,"positions":{"0":12}}}}',
  );
});

test('GET /recovery shows a reused revision and an incomplete state', async () => {
  const clock = new ManualClock();
  const detector = detectorOf(clock);
  assert.equal(detector.acceptsCommitted(431, 431), false);
  assert.equal(
    await recoveryResponse(detector.status()),
    '200 application/json; charset=utf-8 close\n{"member":"node-2","loss":{"state":"noticed","sinceS":0,"evidence":[{"source":"own requests","contradiction":{"kind":"epoch_reused","epoch":431},"text":"own requests: a commit is said to have made epoch 431, which was seen before it"}],"falseAlarms":0,"seen":{"epoch":431}}}',
  );
  clock.time += SECOND;
  for (let i = 0; i < 3; i++) detector.reportIncompleteRead('a part of the checkpoint is missing');
  assert.equal(
    await recoveryResponse(detector.status()),
    '200 application/json; charset=utf-8 close\n{"member":"node-2","loss":{"state":"frozen","sinceS":0,"evidence":[{"source":"own reading","contradiction":{"kind":"state_incomplete","reason":"a part of the checkpoint is missing"},"text":"own reading: the state can not be read whole: a part of the checkpoint is missing"}],"falseAlarms":0,"seen":{"epoch":431}}}',
  );
});

test('POST /duties/resign returns the result of the hand-off, and rejects invalid bodies', async () => {
  const requestedRoles: RoleName[] = [];
  const resign: NodeOperations['resign'] = (role) => {
    requestedRoles.push(role);
    const reason = 'share/1 is not held here: node-2 holds it';
    return Promise.resolve(role === 'lead' ? { kind: 'handed_over' } : { kind: 'refused', reason });
  };
  await withListener({ resign }, async (address) => {
    const post = (body: string): Promise<string> =>
      sendRequest({ address, method: 'POST', path: '/duties/resign', body });
    assert.equal(
      await post('{"duty":"lead"}'),
      '200 application/json; charset=utf-8 close\n{"kind":"handed_over"}',
    );
    assert.equal(
      await post('{"duty":"share/1","later":true}'),
      '409 application/json; charset=utf-8 close\n{"kind":"refused","reason":"share/1 is not held here: node-2 holds it"}',
    );
    for (const body of ['{}', 'null', '{"duty":7}', '{"duty":"share/x"}', '{"duty":""}', '[]']) {
      assert.equal(
        await post(body),
        '400 application/json; charset=utf-8 close\n{"error":"duty: must be lead or share/N"}',
        body,
      );
    }
    for (const body of ['', '{"duty":', 'lead'])
      assert.equal(
        await post(body),
        '400 application/json; charset=utf-8 close\n{"error":"the body is not JSON"}',
        body,
      );
    assert.equal(
      await post(`"${'x'.repeat(1_023)}"`),
      '413 application/json; charset=utf-8 close\n{"error":"the body is over 1024 bytes"}',
    );
  });
  assert.deepEqual(requestedRoles, ['lead', 1]);
});

test('rejects a wrong method, an unknown path and a snapshot request without a replica', async () => {
  await withListener({}, async (address) => {
    assert.equal(
      await sendRequest({ address, method: 'GET', path: '/duties/resign' }),
      '405 application/json; charset=utf-8 close\n{"error":"use POST"}',
    );
    for (const path of ['/duties', '/recovery', '/snapshot']) {
      assert.equal(
        await sendRequest({ address, method: 'POST', path, body: '' }),
        '405 application/json; charset=utf-8 close\n{"error":"use GET"}',
        path,
      );
    }
    for (const path of ['/', '/duties/', '/Duties', '/nothing']) {
      assert.equal(
        await sendRequest({ address, method: 'GET', path }),
        '404 application/json; charset=utf-8 close\n{"error":"no such path; there are /duties, /duties/resign, /recovery and /snapshot"}',
        path,
      );
    }
    assert.equal(
      await sendRequest({ address, method: 'GET', path: '/snapshot' }),
      '503 application/json; charset=utf-8 close\n{"error":"this node holds no copy of the state yet"}',
    );
  });
});

test('reports an internal error, and returns status 500 with a reference to the log', async () => {
  const resign = (): Promise<never> => Promise.reject(new Error('unforeseen'));
  const reported = await withListener({ resign }, async (address) => {
    assert.equal(
      await sendRequest({ address, method: 'POST', path: '/duties/resign', body: '{"duty":"lead"}' }),
      '500 application/json; charset=utf-8 close\n{"error":"internal error; the log of the node says more"}',
    );
  });
  assert.deepEqual(reported, ['Error: unforeseen']);
});

test('sends the lines of a snapshot unchanged', async () => {
  async function* lines(): AsyncGenerator<string> {
    await Promise.resolve();
    yield '{"kind":"header"}\n';
    yield '{"kind":"trailer"}\n';
  }
  assert.equal(
    await responseOf({ snapshot: lines }, '/snapshot'),
    '200 application/octet-stream close\n{"kind":"header"}\n{"kind":"trailer"}\n',
  );
});

test('the client returns the response, or the reason why there is none', async () => {
  await withListener({}, async (address) => {
    const nodes = [address];
    const resultText = async (answers: Promise<unknown>): Promise<string> =>
      JSON.stringify(await answers).replaceAll(address, 'ADDRESS');
    assert.equal(
      await resultText(requestRoleStatus(nodes)),
      '[{"node":"ADDRESS","kind":"answered","value":{"member":"node-1","membership":"member","knowledgeAgeS":0.4,"duties":[]}}]',
    );
    assert.equal(
      await resultText(requestDataLossStatus(nodes)),
      '[{"node":"ADDRESS","kind":"answered","value":{"member":"node-1","loss":null}}]',
    );
    assert.equal(
      await resultText(requestResignation(address, 'lead')),
      '{"node":"ADDRESS","kind":"answered","value":{"kind":"handed_over"}}',
    );
    assert.equal(
      await resultText(requestResignation(address, 'nothing')),
      '{"node":"ADDRESS","kind":"silent","reason":"duty: must be lead or share/N"}',
    );
    assert.equal(
      await resultText(requestRoleStatus(['127.0.0.1:1'])),
      '[{"node":"127.0.0.1:1","kind":"silent","reason":"connect ECONNREFUSED 127.0.0.1:1"}]',
    );
    await assert.rejects(openSnapshot(address), { message: 'this node holds no copy of the state yet' });
  });
});
