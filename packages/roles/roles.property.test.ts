/**
 * Random histories of three nodes that acquire, lose, renew and resign the leadership, and act under proofs old and new, against
 * a small reference model. A failing history is shrunk to the few steps that it takes.
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
const LIFE: Micros = 3 * SECOND;
const KEY = 'lead';
const INTENT = { id: 'hire-1', machineType: 'small', zone: 'east', spot: false, count: 1 };

interface SentCommit {
  guards: readonly Guard[];
  /** The term that the sender meant to act under. */
  term: number;
  answer: (result: CommitResult) => void;
}

/** What the stand-in state service holds: the holder of the lead, and the effects that took place. */
class NodeService {
  revision = 0;
  holder: RoleHolder | null = null;
  readonly inFlight: SentCommit[] = [];
  readonly effects: number[] = [];
  refusals = 0;
  /** Checks no guards, as if the fence were taken out. */
  ignoresGuards = false;

  take(node: number): void {
    if (this.holder) return;
    this.revision++;
    this.holder = { member: `node-${node}`, nonce: `process-${node}`, term: this.revision };
  }

  end(): void {
    if (this.holder) this.revision++;
    this.holder = null;
  }

  deliver(commit: SentCommit): void {
    const revision = this.holder?.term ?? 0;
    const isFenced = commit.guards.some((guard) => guard.path === KEY && guard.revision === revision);
    if (!isFenced && !this.ignoresGuards) {
      this.refusals++;
      commit.answer({ kind: 'refused', failed: [KEY], revision: this.revision });
      return;
    }
    this.effects.push(commit.term);
    commit.answer({ kind: 'applied', revision: ++this.revision });
  }
}

/** One node: its roles, and what it believes. */
class Node {
  believed: RoleHolder | null = null;
  kept: TermProof | null = null;
  scaleOutRequests = 0;
  readonly registry: RoleRegistry;
  readonly store: FencedStore;
  readonly cloud: FencedCloud;

  constructor(
    readonly index: number,
    service: NodeService,
    clock: Clock,
  ) {
    const holders = (): Map<RoleName, RoleHolder> => new Map(this.believed ? [['lead', this.believed]] : []);
    const isOurs = (nonce: string): boolean => nonce === `process-${index}`;
    const source = { holders, isOurs };
    this.registry = new RoleRegistry({ source, clock, keyOf: () => KEY, leaseLife: LIFE });
    const compareAndSwap = (guards: Guard[], writes: Write[]): Promise<CommitResult> =>
      new Promise((answer) => service.inFlight.push({ guards, term: writes.length, answer }));
    this.store = new FencedStore({ compareAndSwap }, this.registry);
    const requestMachines = (): Promise<{ kind: 'no_capacity' }> => {
      this.scaleOutRequests++;
      return Promise.resolve({ kind: 'no_capacity' });
    };
    this.cloud = new FencedCloud({ requestMachines } as unknown as CloudClient, this.registry);
  }

  /** Acts under a proof; the term travels as the number of writes, for the service to note. */
  act(termProof: TermProof): void {
    const writes = [...Array(termProof.term).keys()].map((i): Write => ({ remove: `key-${i}` }));
    void this.store.compareAndSwap({ proofs: [termProof], action: 'test', guards: [], writes });
  }
}

/** What the reference model knows: who may act, as simple facts. */
interface Model {
  now: Micros;
  nodes: { term: number | null; isOurs: boolean; isResigning: boolean; renewedAt: Micros }[];
}

interface Real {
  service: NodeService;
  nodes: Node[];
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

function isInDoubt(model: Model, index: number): boolean {
  return model.now > (model.nodes[index]?.renewedAt ?? 0) + LIFE - 0.3 * SECOND;
}

/** So many times as often as the others come the steps without which nothing happens. */
const OFTEN = 4;

const RARE_STEPS: ((index: number) => Step)[] = [
  (index) =>
    step(`node ${index} takes the lead`, (_model, { service }) => {
      service.take(index);
    }),
  () =>
    step('the lead ends', (_model, { service }) => {
      service.end();
    }),
  (index) =>
    step(`node ${index} renews`, (model, { nodes, time }) => {
      const facts = model.nodes[index];
      assert.ok(facts);
      facts.renewedAt = model.now;
      nodes[index]?.registry.onLeaseRenewed(time.now);
    }),
  (index) =>
    step(`node ${index} resigns`, (model, { nodes }) => {
      const facts = model.nodes[index];
      const expected = mayAct(model, index) && !isInDoubt(model, index);
      assert.equal(nodes[index]?.registry.resign('lead'), expected);
      if (facts && expected) facts.isResigning = true;
    }),
  (index) =>
    step(`node ${index} acts under an old proof`, async (model, { nodes }) => {
      const node = nodes[index];
      if (!node?.kept) return;
      const isCurrent = mayAct(model, index) && model.nodes[index]?.term === node.kept.term;
      assert.equal(node.kept.isCurrent(), isCurrent);
      node.act(node.kept);
      const before = node.scaleOutRequests;
      await node.cloud.requestMachines(node.kept, ScaleOutIntent.fromRecord(INTENT));
      assert.equal(node.scaleOutRequests > before, isCurrent && !isInDoubt(model, index));
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
      const [node, facts] = [nodes[index], model.nodes[index]];
      assert.ok(node && facts);
      const isNew = service.holder?.term !== facts.term;
      facts.term = service.holder?.term ?? null;
      facts.isOurs = service.holder?.nonce === `process-${index}`;
      if (isNew) facts.isResigning = false;
      node.believed = service.holder;
      node.registry.refresh();
    }),
  (index) =>
    step(`node ${index} acts`, (model, { nodes }) => {
      const node = nodes[index];
      const termProof = node?.registry.proveHeld('lead') ?? null;
      assert.equal(termProof !== null, mayAct(model, index));
      if (!node || !termProof) return;
      assert.equal(termProof.term, model.nodes[index]?.term);
      node.kept ??= termProof;
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
      const tookPlace = service.effects.length > before;
      assert.equal(tookPlace, commit.term === current, `effect of term ${commit.term} in term ${current}`);
    }),
];

function commands(): fc.Arbitrary<Iterable<Step>> {
  const any = fc.nat({ max: NODES - 1 });
  return fc.commands(
    [...RARE_STEPS, ...Array<typeof FREQUENT_STEPS>(OFTEN).fill(FREQUENT_STEPS).flat()].map((make) =>
      any.map(make),
    ),
    { maxCommands: 60, size: 'max' },
  );
}

/** Plays one history; how many effects took place, and how many were refused. */
async function play(steps: Iterable<Step>, ignoresGuards: boolean): Promise<[number, number]> {
  const time = { now: SECOND };
  const clock: Clock = { now: () => time.now, wall: () => 0, after: () => ({ cancel: () => undefined }) };
  const service = new NodeService();
  service.ignoresGuards = ignoresGuards;
  const nodes = [...Array(NODES).keys()].map((index) => new Node(index, service, clock));
  const facts = nodes.map(() => ({ term: null, isOurs: false, isResigning: false, renewedAt: -Infinity }));
  const setup = (): { model: Model; real: Real } => ({
    model: { now: time.now, nodes: facts },
    real: { service, nodes, time },
  });
  await fc.asyncModelRun(setup, steps);
  const inOrder = service.effects.every((term, i) => term >= (service.effects[i - 1] ?? 0));
  assert.ok(inOrder, `effects out of order: ${service.effects.join(' ')}`);
  return [service.effects.length, service.refusals];
}

test('no history of takes, losses, pauses and late commits lets an action of an earlier term take effect', async () => {
  let [effects, refusals] = [0, 0];
  await fc.assert(
    fc.asyncProperty(commands(), async (steps) => {
      const [applied, refused] = await play(steps, false);
      effects += applied;
      refusals += refused;
    }),
    { seed: 23, numRuns: 2000 },
  );
  assert.ok(effects > 100 && refusals > 100, `${effects} effects, ${refusals} refusals`);
});

test('without the guard such a history is found, and shrunk to a few steps', async () => {
  const result = await fc.check(
    fc.asyncProperty(commands(), async (steps) => {
      await play(steps, true);
    }),
    { seed: 23, numRuns: 2000 },
  );
  assert.ok(result.failed, 'no history was found');
  const [steps] = result.counterexample ?? [];
  const names = steps ? [...steps].map(String) : [];
  assert.ok(names.length > 0 && names.length <= 6, names.join('; '));
});
