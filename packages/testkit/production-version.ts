/**
 * The controller of the production version, for tests that run it next to the current one. Its code is the output of
 * that version's own build, in `fixtures/`; see `fixtures/README.md`. Only this module knows the names of that
 * version's settings, methods and state. It maps them to those of the current version; its interfaces keep them.
 */
import type { ServiceResponse } from '#api';
import type { Destination, Logger, MachineStatus, Ping, ReplicaState } from '#cluster';
import type { ControllerOptions } from '#daemon';
import type { Settings, Tuning } from '#settings';
import type { HttpClient, Clock, Count, Micros } from '#wire';
import type { LedgerFacts, ReplicaFacts } from './ledger-agreement.js';
import type { SimulatedController } from './simulated-controller.js';

const FIXTURE = new URL('../../packages/testkit/fixtures/production-version.mjs', import.meta.url);

/** Settings of the production version. Those declared here have other names than in the current version. */
interface ProductionSettings extends Omit<
  Settings,
  'heartbeatInterval' | 'workerLease' | 'cancellationDeadline' | 'machineListLag'
> {
  readonly report: Micros;
  readonly lease: Micros;
  readonly cancel: Micros;
  readonly listLag: Micros;
}

/** Operator settings of the production version. */
interface ProductionTuning extends Omit<Tuning, 'priorityDoublingTime' | 'detectsDataLoss'> {
  readonly waitDoubles: Micros;
}

/** The status that a controller of the production version reports to its peers. */
interface ProductionPeerStatus {
  readonly token: number;
  readonly served: boolean;
  readonly referred: Record<string, number>;
}

interface ProductionPingResult {
  readonly result: 'ok' | 'refused' | 'silent';
  readonly word: ProductionPeerStatus | null;
}

interface ProductionOptions {
  readonly settings: ProductionSettings;
  readonly tuning: ProductionTuning;
  readonly clock: Clock;
  readonly random: () => number;
  readonly incarnation: string;
  readonly call: HttpClient;
  readonly ping: (endpoint: string, timeout: Micros) => Promise<ProductionPingResult>;
  readonly log: Logger;
}

type ProductionMachineStatus = 'new' | 'up' | 'silent' | 'recalled' | 'faulty' | 'lost';
type ProductionDestination = number | 'return';

interface ProductionMachine {
  readonly host: string;
  readonly share: number | null;
  readonly destination: ProductionDestination | null;
  readonly status: ProductionMachineStatus;
  readonly ownershipCount: number;
  readonly lastReport: readonly [Count, Count] | null;
}

interface ProductionPlacement {
  readonly taskName: string;
  readonly host: string;
  readonly attempt: number;
  readonly session: Count;
}

interface ProductionLedger {
  readonly hosts: ReadonlyMap<string, ProductionMachine>;
  readonly onHost: ReadonlyMap<string, ReadonlyMap<string, ProductionPlacement>>;
}

interface ProductionReplicaSnapshot {
  readonly member: string;
  readonly state: ReplicaState;
  readonly applied: number;
  readonly ledger: ProductionLedger;
}

/** The part of the production version's controller that a simulated cluster uses. */
interface ProductionController {
  start(): void;
  report(body: unknown): Promise<ServiceResponse>;
  health(): ServiceResponse;
  word(): ProductionPeerStatus;
  stateCopy(): ProductionReplicaSnapshot;
  readonly users: {
    submit(body: unknown): Promise<ServiceResponse>;
    show(id: string): Promise<ServiceResponse>;
    cancel(id: string): Promise<ServiceResponse>;
  };
}

/** Creates controllers of the production version. */
export interface ProductionVersion {
  createController(options: ControllerOptions): SimulatedController;
}

/** Machine statuses of the current version. Keyed by those of the production version. */
const MACHINE_STATUSES: Readonly<Record<ProductionMachineStatus, MachineStatus>> = {
  new: 'new',
  up: 'up',
  silent: 'unresponsive',
  recalled: 'reclaimed',
  faulty: 'quarantined',
  lost: 'lost',
};

/** Loads the controller of the production version. */
export async function loadProductionVersion(): Promise<ProductionVersion> {
  const fixture = (await import(FIXTURE.href)) as {
    Controller: new (parts: ProductionOptions) => ProductionController;
  };
  return { createController: (options) => toSimulatedController(new fixture.Controller(optionsOf(options))) };
}

function toSimulatedController(controller: ProductionController): SimulatedController {
  const { users } = controller;
  return {
    start: () => {
      controller.start();
    },
    handleHeartbeat: (body) => controller.report(body),
    submitJob: (body) => users.submit(body),
    getJob: (id) => users.show(id),
    cancelJob: (id) => users.cancel(id),
    health: () => controller.health(),
    peerStatus: () => {
      const { token: fencingToken, served, referred } = controller.word();
      return { fencingToken, isStoreReachable: served, redirectedWorkers: referred, highWaterMark: null };
    },
    replicaFacts: () => replicaFactsOf(controller.stateCopy()),
  };
}

function optionsOf(options: ControllerOptions): ProductionOptions {
  return {
    settings: settingsOf(options.settings),
    tuning: tuningOf(options.tuning),
    clock: options.clock,
    random: options.random,
    incarnation: options.incarnation,
    call: options.httpClient,
    ping: pingOf(options.ping),
    log: options.log,
  };
}

function settingsOf(settings: Settings): ProductionSettings {
  const { heartbeatInterval, workerLease, cancellationDeadline, ...others } = settings;
  const { machineListLag, ...unchanged } = others;
  return {
    ...unchanged,
    report: heartbeatInterval,
    lease: workerLease,
    cancel: cancellationDeadline,
    listLag: machineListLag,
  };
}

function tuningOf({ priorityDoublingTime, ...others }: Tuning): ProductionTuning {
  return { ...others, waitDoubles: priorityDoublingTime };
}

function pingOf(ping: Ping): ProductionOptions['ping'] {
  return async (endpoint, timeout) => {
    const answer = await ping(endpoint, timeout);
    if (answer.status === null) return { result: answer.result, word: null };
    const { status } = answer;
    return {
      result: answer.result,
      word: {
        token: status.fencingToken,
        served: status.isStoreReachable,
        referred: status.redirectedWorkers,
      },
    };
  };
}

function replicaFactsOf({ member, state, applied, ledger }: ProductionReplicaSnapshot): ReplicaFacts {
  return { member, state, appliedRevision: applied, ledger, describeLedger: () => ledgerFactsOf(ledger) };
}

function destinationOf(destination: ProductionDestination | null): Destination | null {
  return destination === 'return' ? 'scale_in' : destination;
}

function ledgerFactsOf(ledger: ProductionLedger): LedgerFacts {
  const machines = [...ledger.hosts.values()].map((machine) => ({
    host: machine.host,
    shard: machine.share,
    destination: destinationOf(machine.destination),
    ownershipCount: machine.ownershipCount,
    status: MACHINE_STATUSES[machine.status],
    lastHeartbeat: machine.lastReport && {
      incarnation: machine.lastReport[0],
      sequence: machine.lastReport[1],
    },
  }));
  const placements = [...ledger.onHost.values()].flatMap((tasks) =>
    [...tasks.values()].map((placement) => ({
      taskName: placement.taskName,
      host: placement.host,
      attempt: placement.attempt,
      workerIncarnation: placement.session,
    })),
  );
  return { machines, placements };
}
