/**
 * Model-based tests with random histories. Three nodes acquire, lose, renew and resign the leader role, and act under
 * current and outdated proofs. Each step is compared with a small reference model. A failing history is shrunk to the
 * few steps that cause the failure.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { CloudClient } from '#cloud';
import type { CommitResult, Guard, Write } from '#store';
import { type Clock, type Micros, SECOND } from '#wire';
import {
  type RoleHolder,
  type RoleName,
  RoleRegistry,
  FencedCloud,
  FencedStore,
  ScaleOutIntent,
} from './index.js';
import type { TermProof } from './term-proof.js';

const NODES = 3;
const LEASE_DURATION: Micros = 3 * SECOND;
const KEY = 'lead';
const INTENT = { id: 'hire-1', machineType: 'small', zone: 'east', spot: false, count: 1 };

interface SentCommit {
  guards: readonly Guard[];
  /** The term under which the sender acts. */
  term: number;
  respond: (result: CommitResult) => void;
}

/** A fake state service. It holds the holder of the leader role and the terms of the commits that took effect. */
class FakeStateService {
  revision = 0;
  holder: RoleHolder | null = null;
  readonly inFlight: SentCommit[] = [];
  readonly effects: number[] = [];
  refusals = 0;
  /** If true, the service applies commits without checking their guards. */
  ignoresGuards = false;

  acquire(node: number): void {
    if (this.holder) return;
    this.revision++;
    this.holder = { member: `node-${node}`, nonce: `process-${node}`, term: this.revision };
  }

  endTerm(): void {
    if (this.holder) this.revision++;
    this.holder = null;
  }

  deliver(commit: SentCommit): void {
    const revision = this.holder?.term ?? 0;
    const hasCurrentTerm = commit.guards.some((guard) => guard.path === KEY && guard.revision === revision);
    if (!hasCurrentTerm && !this.ignoresGuards) {
      this.refusals++;
      commit.respond({ kind: 'refused', failed: [KEY], revision: this.revision });
      return;
    }
    this.effects.push(commit.term);
    commit.respond({ kind: 'applied', revision: ++this.revision });
  }
}

/** A node with its role registry, its fenced clients and the role holder that it observes. */
class TestNode {
  observedHolder: RoleHolder | null = null;
  /** The first proof that the node got. Later steps act under it, when it may be outdated. */
  retainedProof: TermProof | null = null;
  scaleOutRequests = 0;
  readonly registry: RoleRegistry;
  readonly store: FencedStore;
  readonly cloud: FencedCloud;

  constructor(
    readonly index: number,
    service: FakeStateService,
    clock: Clock,
  ) {
    const holders = (): Map<RoleName, RoleHolder> =>
      new Map(this.observedHolder ? [['lead', this.observedHolder]] : []);
    const isOurs = (nonce: string): boolean => nonce === `process-${index}`;
    const source = { holders, isOurs };
    this.registry = new RoleRegistry({ source, clock, keyOf: () => KEY, leaseDuration: LEASE_DURATION });
    const compareAndSwap = (guards: Guard[], writes: Write[]): Promise<CommitResult> =>
      new Promise((respond) => service.inFlight.push({ guards, term: writes.length, respond }));
    this.store = new FencedStore({ compareAndSwap }, this.registry);
    const requestMachines = (): Promise<{ kind: 'no_capacity' }> => {
      this.scaleOutRequests++;
      return Promise.resolve({ kind: 'no_capacity' });
    };
    this.cloud = new FencedCloud({ requestMachines } as unknown as CloudClient, this.registry);
  }

  /** Sends a commit under a proof. The number of writes encodes the term, which the service records. */
  act(termProof: TermProof): void {
    const writes = [...Array(termProof.term).keys()].map((i): Write => ({ remove: `key-${i}` }));
    void this.store.compareAndSwap({ proofs: [termProof], action: 'test', guards: [], writes });
  }
}

/** The reference model: the time, and the facts that decide which node may act. */
interface Model {
  now: Micros;
  nodes: { term: number | null; isOurs: boolean; isResigning: boolean; renewedAt: Micros }[];
}

interface Real {
  service: FakeStateService;
  nodes: TestNode[];
  time: { now: Micros };
}

type Step = fc.AsyncCommand<Model, Real>;

function step(name: string, run: (model: Model, real: Real) => void | Promise<void>): Step {
  return { check: () => true, run: async (model, real) => run(model, real), toString: () => name };
}

function mayAct(model: Model, index: number): boolean {
  const node = model.nodes[index];
  return node !== undefined && node.isOurs && !node.isResigning;
}

function isLeaseSuspected(model: Model, index: number): boolean {
  return model.now > (model.nodes[index]?.renewedAt ?? 0) + LEASE_DURATION - 0.3 * SECOND;
}

/** Frequent steps are this many times as likely as rare ones, because without them no action takes place. */
const FREQUENT_STEP_WEIGHT = 4;

const RARE_STEPS: ((index: number) => Step)[] = [
  (index) =>
    step(`node ${index} acquires the leader role`, (_model, { service }) => {
      service.acquire(index);
    }),
  () =>
    step('the term of the leader ends', (_model, { service }) => {
      service.endTerm();
    }),
  (index) =>
    step(`node ${index} renews its lease`, (model, { nodes, time }) => {
      const modelNode = model.nodes[index];
      assert.ok(modelNode);
      modelNode.renewedAt = model.now;
      nodes[index]?.registry.onLeaseRenewed(time.now);
    }),
  (index) =>
    step(`node ${index} resigns`, (model, { nodes }) => {
      const modelNode = model.nodes[index];
      const expected = mayAct(model, index) && !isLeaseSuspected(model, index);
      assert.equal(nodes[index]?.registry.resign('lead'), expected);
      if (modelNode && expected) modelNode.isResigning = true;
    }),
  (index) =>
    step(`node ${index} acts under its retained proof`, async (model, { nodes }) => {
      const node = nodes[index];
      if (!node?.retainedProof) return;
      const isCurrent = mayAct(model, index) && model.nodes[index]?.term === node.retainedProof.term;
      assert.equal(node.retainedProof.isCurrent(), isCurrent);
      node.act(node.retainedProof);
      const before = node.scaleOutRequests;
      await node.cloud.requestMachines(node.retainedProof, ScaleOutIntent.fromRecord(INTENT));
      assert.equal(node.scaleOutRequests > before, isCurrent && !isLeaseSuspected(model, index));
    }),
  (index) =>
    step(`${index + 1} s pass`, (model, { time }) => {
      model.now += (index + 1) * SECOND;
      time.now = model.now;
    }),
];

const FREQUENT_STEPS: ((index: number) => Step)[] = [
  (index) =>
    step(`node ${index} catches up`, (model, { service, nodes }) => {
      const [node, modelNode] = [nodes[index], model.nodes[index]];
      assert.ok(node && modelNode);
      const isNew = service.holder?.term !== modelNode.term;
      modelNode.term = service.holder?.term ?? null;
      modelNode.isOurs = service.holder?.nonce === `process-${index}`;
      if (isNew) modelNode.isResigning = false;
      node.observedHolder = service.holder;
      node.registry.refresh();
    }),
  (index) =>
    step(`node ${index} acts`, (model, { nodes }) => {
      const node = nodes[index];
      const termProof = node?.registry.proveHeld('lead') ?? null;
      assert.equal(termProof !== null, mayAct(model, index));
      if (!node || !termProof) return;
      assert.equal(termProof.term, model.nodes[index]?.term);
      node.retainedProof ??= termProof;
      node.act(termProof);
    }),
  (index) =>
    step(`commit ${index} arrives`, async (_model, { service }) => {
      const [commit] = service.inFlight.splice(index, 1);
      if (!commit) return;
      const current = service.holder?.term ?? null;
      const before = service.effects.length;
      service.deliver(commit);
      await Promise.resolve();
      const tookEffect = service.effects.length > before;
      assert.equal(tookEffect, commit.term === current, `effect of term ${commit.term} in term ${current}`);
    }),
];

function commands(): fc.Arbitrary<Iterable<Step>> {
  const nodeIndex = fc.nat({ max: NODES - 1 });
  return fc.commands(
    [...RARE_STEPS, ...Array<typeof FREQUENT_STEPS>(FREQUENT_STEP_WEIGHT).fill(FREQUENT_STEPS).flat()].map(
      (createStep) => nodeIndex.map(createStep),
    ),
    { maxCommands: 60, size: 'max' },
  );
}

/** Runs one history. Returns the number of commits that took effect and the number of refused commits. */
async function runHistory(steps: Iterable<Step>, ignoresGuards: boolean): Promise<[number, number]> {
  const time = { now: SECOND };
  const clock: Clock = { now: () => time.now, wall: () => 0, after: () => ({ cancel: () => undefined }) };
  const service = new FakeStateService();
  service.ignoresGuards = ignoresGuards;
  const nodes = [...Array(NODES).keys()].map((index) => new TestNode(index, service, clock));
  const models = nodes.map(() => ({ term: null, isOurs: false, isResigning: false, renewedAt: -Infinity }));
  const setup = (): { model: Model; real: Real } => ({
    model: { now: time.now, nodes: models },
    real: { service, nodes, time },
  });
  await fc.asyncModelRun(setup, steps);
  const areInOrder = service.effects.every((term, i) => term >= (service.effects[i - 1] ?? 0));
  assert.ok(areInOrder, `effects out of order: ${service.effects.join(' ')}`);
  return [service.effects.length, service.refusals];
}

test('no history of acquisitions, losses, pauses and late commits applies an action of an earlier term', async () => {
  let [effects, refusals] = [0, 0];
  await fc.assert(
    fc.asyncProperty(commands(), async (steps) => {
      const [applied, refused] = await runHistory(steps, false);
      effects += applied;
      refusals += refused;
    }),
    { seed: 23, numRuns: 2000 },
  );
  assert.ok(effects > 100 && refusals > 100, `${effects} effects, ${refusals} refusals`);
});

test('without guards, finds a history that applies an outdated action and shrinks it to a few steps', async () => {
  const result = await fc.check(
    fc.asyncProperty(commands(), async (steps) => {
      await runHistory(steps, true);
    }),
    { seed: 23, numRuns: 2000 },
  );
  assert.ok(result.failed, 'no failing history was found');
  const [steps] = result.counterexample ?? [];
  const names = steps ? [...steps].map(String) : [];
  assert.ok(names.length > 0 && names.length <= 6, names.join('; '));
});
