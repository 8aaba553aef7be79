import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CloudClient } from '#cloud';
import { type MachineRow, Ledger } from '#cluster';
import { RoleRegistry, FencedCloud } from '#roles';
import { SimClock } from '#testkit';
import { type ListedMachine, type Micros, SECOND } from '#wire';
import type { FleetState } from './fleet-context.js';
import { FleetManager } from './fleet-manager.js';

const SILENT = { debug: () => undefined, info: () => undefined, error: () => undefined };
const LIST_LAG = 3 * SECOND;
/** By then the list shows every machine that was there when it was requested, and the manager counts on that. */
const LIST_CERTAIN: Micros = 2 * LIST_LAG + 12 * SECOND;

/** A fleet manager under a term of its own, over a cloud whose list can be taken away. */
class FleetHarness {
  readonly clock = new SimClock();
  readonly ledger = new Ledger();
  listed: ListedMachine[] | null = [];
  deleted: string[] = [];
  readonly manager: FleetManager;
  private records = 0;

  constructor() {
    const clock = this.clock.createProcessClock(
      (step) => {
        step();
      },
      0,
      0,
    );
    const holder = { member: 'node-0', nonce: 'ours', term: 1 };
    const source = { holders: () => new Map([['lead' as const, holder]]), isOurs: () => true };
    const registry = new RoleRegistry({ source, clock, keyOf: () => 'lead', leaseLife: 3600 * SECOND });
    registry.onLeaseRenewed(clock.now());
    const cloud = {
      listMachines: () => Promise.resolve(this.listed),
      deleteMachines: (hosts: string[]) => {
        this.deleted.push(...hosts);
        return Promise.resolve(true);
      },
    } as unknown as CloudClient;
    const state: FleetState = {
      ledger: this.ledger,
      machineTypes: new Map(),
      workerLease: 3600 * SECOND,
      machineListLag: LIST_LAG,
      shardForZone: () => 0,
      isInWarmPool: () => false,
      isPartitioned: () => false,
    };
    const fencedCloud = new FencedCloud(cloud, registry);
    this.manager = new FleetManager({
      cloud: fencedCloud,
      clock,
      state: () => state,
      log: SILENT,
      requestRound: () => undefined,
    });
    const termProof = registry.proveHeld('lead');
    assert.ok(termProof);
    this.manager.beginTerm(termProof);
  }

  /** Takes steps for so long, and records what is pending. */
  async run(duration: Micros): Promise<void> {
    for (const end = this.clock.time + duration; this.clock.time < end;) {
      this.manager.step([]);
      await this.clock.run(this.clock.time + SECOND, () => undefined);
      const draft = this.manager.draft();
      if (!Object.values(draft).some((rows) => Array.isArray(rows) && rows.length > 0)) continue;
      this.ledger.apply('lead', { ...draft, sequence: ++this.records, recordedAtMs: 0 });
      this.manager.onRecordCommitted(draft);
    }
  }

  addMachine(host: string): void {
    const row: MachineRow = [host, 'small', 'east', false, 0, 0];
    this.ledger.apply('lead', { sequence: ++this.records, recordedAtMs: 0, machines: [row] });
  }

  destination(host: string): unknown {
    return this.ledger.machines.get(host)?.destination;
  }
}

// A young machine was deleted with its tasks in an outage of the cloud: the list was from before its scale-out.
test('a list older than a machine does not prove that the machine is gone', async () => {
  const fleet = new FleetHarness();
  await fleet.run(5 * SECOND);
  fleet.listed = null;
  fleet.addMachine('n-1');
  await fleet.run(LIST_CERTAIN);
  assert.equal(fleet.destination('n-1'), null);
  assert.deepEqual(fleet.deleted, []);
  // A list that was requested long after does not show it: then it is gone.
  fleet.listed = [];
  await fleet.run(10 * SECOND);
  assert.deepEqual(fleet.deleted, ['n-1']);
});

test('a machine missing from the list is recorded as leaving first and deleted after that', async () => {
  const fleet = new FleetHarness();
  fleet.addMachine('n-1');
  await fleet.run(LIST_CERTAIN + 10 * SECOND);
  assert.equal(fleet.ledger.machines.has('n-1'), false);
  assert.deepEqual(fleet.deleted, ['n-1'], 'deleted once');
});

test('an unrecorded machine is deleted if it stopped by itself and adopted if it runs', async () => {
  const fleet = new FleetHarness();
  const row = { address: '', machineType: 'small', zone: 'east', spot: false, ageS: 30 };
  fleet.listed = [
    { ...row, host: 'n-1', state: 'failed' },
    { ...row, host: 'n-2', state: 'running' },
  ];
  await fleet.run(10 * SECOND);
  assert.deepEqual([...new Set(fleet.deleted)], ['n-1']);
  assert.equal(fleet.destination('n-2'), null);
});
