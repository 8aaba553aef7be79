/** The interface between a simulated cluster and a controller, of the current or of the production version. */
import type { ServiceResponse } from '#api';
import type { PeerStatus } from '#cluster';
import type { Controller } from '#daemon';
import { factsOfLedger, type ReplicaFacts } from './ledger-agreement.js';

/** A controller of either version. */
export interface SimulatedController {
  start(): void;
  handleHeartbeat(body: unknown): Promise<ServiceResponse>;
  submitJob(body: unknown): Promise<ServiceResponse>;
  getJob(id: string): Promise<ServiceResponse>;
  cancelJob(id: string): Promise<ServiceResponse>;
  health(): ServiceResponse;
  peerStatus(): PeerStatus;
  /** Returns this controller's replica of the state, in a form that is common to both versions. */
  replicaFacts(): ReplicaFacts;
}

/** Adapts a controller of the current version. */
export function toSimulatedController(controller: Controller): SimulatedController {
  const { jobService } = controller;
  return {
    start: () => {
      controller.start();
    },
    handleHeartbeat: (body) => controller.handleHeartbeat(body),
    submitJob: (body) => jobService.submitJob(body),
    getJob: (id) => jobService.getJob(id),
    cancelJob: (id) => jobService.cancelJob(id),
    health: () => controller.health(),
    peerStatus: () => controller.peerStatus(),
    replicaFacts: () => {
      const { member, state, appliedRevision, ledger } = controller.replicaSnapshot();
      return { member, state, appliedRevision, ledger, describeLedger: () => factsOfLedger(ledger) };
    },
  };
}
