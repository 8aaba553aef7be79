/** What a simulated cluster asks of a controller, whichever version of the program it runs. */
import type { ServiceResponse } from '#api';
import type { PeerStatus } from '#cluster';
import type { Controller } from '#daemon';
import { factsOfLedger, type ReplicaFacts } from './agreement.js';

/** One controller of either version. */
export interface SimulatedController {
  start(): void;
  report(body: unknown): Promise<ServiceResponse>;
  submit(body: unknown): Promise<ServiceResponse>;
  show(id: string): Promise<ServiceResponse>;
  cancel(id: string): Promise<ServiceResponse>;
  health(): ServiceResponse;
  word(): PeerStatus;
  /** This controller's copy of the state, in a form that is common to both versions. */
  replicaFacts(): ReplicaFacts;
}

/** A controller of the present version. */
export function simulate(controller: Controller): SimulatedController {
  const { jobService: users } = controller;
  return {
    start: () => {
      controller.start();
    },
    report: (body) => controller.handleHeartbeat(body),
    submit: (body) => users.submitJob(body),
    show: (id) => users.getJob(id),
    cancel: (id) => users.cancelJob(id),
    health: () => controller.health(),
    word: () => controller.peerStatus(),
    replicaFacts: () => {
      const { member, state, appliedRevision: applied, ledger } = controller.replicaSnapshot();
      return { member, state, applied, ledger, describeLedger: () => factsOfLedger(ledger) };
    },
  };
}
