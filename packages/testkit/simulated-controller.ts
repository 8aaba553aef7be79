/** What a simulated cluster asks of a controller, whichever version of the program it runs. */
import type { Answer } from '#api';
import type { PeerWord } from '#cluster';
import type { Controller } from '#daemon';
import { factsOfLedger, type ReplicaFacts } from './agreement.js';

/** One controller of either version. */
export interface SimulatedController {
  start(): void;
  report(body: unknown): Promise<Answer>;
  submit(body: unknown): Promise<Answer>;
  show(id: string): Promise<Answer>;
  cancel(id: string): Promise<Answer>;
  health(): Answer;
  word(): PeerWord;
  /** This controller's copy of the state, in a form that is common to both versions. */
  replicaFacts(): ReplicaFacts;
}

/** A controller of the present version. */
export function simulate(controller: Controller): SimulatedController {
  const { users } = controller;
  return {
    start: () => {
      controller.start();
    },
    report: (body) => controller.report(body),
    submit: (body) => users.submit(body),
    show: (id) => users.show(id),
    cancel: (id) => users.cancel(id),
    health: () => controller.health(),
    word: () => controller.word(),
    replicaFacts: () => {
      const { member, state, applied, ledger } = controller.stateCopy();
      return { member, state, applied, ledger, describeLedger: () => factsOfLedger(ledger) };
    },
  };
}
