/** Runs scheduling rounds one after another, on request and with a minimum spacing that depends on planning time. */
import type { Logger, LogWriter } from '#cluster';
import type { Tuning } from '#settings';
import { type Clock, type Micros, sleep } from '#wire';
import type { RoundPhase, ShardRound } from './shard-round.js';
import type { StateFreshness } from './state-freshness.js';

/** Minimum time between the starts of two rounds, as a multiple of the planning time of the first. */
const PLANNING_SPACING_FACTOR = 4;

/** The current phase of the loop. `resting`: waiting for the next round. `leading`: running the step of the leader. */
type RoundLoopState = 'resting' | RoundPhase | 'leading' | 'stopped';

/** Dependencies of {@link RoundLoop}. */
export interface RoundLoopOptions {
  readonly clock: Clock;
  readonly tuning: Tuning;
  readonly log: Logger;
  readonly logWriter: LogWriter;
  readonly freshness: StateFreshness;
  readonly shardRound: ShardRound;
  /** Performs one step of the leader after each round. Does nothing unless this node is the leader. */
  readonly stepLeader: (isFresh: boolean) => void;
}

/** The loop of scheduling rounds. Logs the error of a round that fails; the next round starts as usual. */
export class RoundLoop {
  private state: RoundLoopState = 'resting';
  private isRequested = false;
  /** Ends the wait for a request before its timeout; null before the first wait. */
  private endIdleWait: (() => void) | null = null;
  /** Callbacks to call once the next round has ended. */
  private waiters: (() => void)[] = [];
  private lastRoundAt: Micros = -Infinity;

  constructor(private readonly options: RoundLoopOptions) {}

  /** Runs rounds until {@link stop} is called. */
  async run(): Promise<void> {
    while (!this.isStopped()) {
      const delay = this.delayUntilNextRound();
      if (delay > 0) await sleep(this.options.clock, delay);
      if (!this.isRequested) await this.waitForRequest();
      this.isRequested = false;
      this.lastRoundAt = this.options.clock.now();
      const waiters = this.waiters;
      this.waiters = [];
      try {
        const isFresh = this.options.freshness.isFresh();
        await this.options.shardRound.run(isFresh, (phase) => {
          this.enter(phase);
        });
        for (const resolve of waiters) resolve();
        this.enter('leading');
        this.options.stepLeader(isFresh);
      } catch (error) {
        this.logFailure(error);
      }
      for (const resolve of waiters) resolve();
      this.enter('resting');
    }
  }

  /** Ends {@link run} after the current round, or after the next one if none is running. */
  stop(): void {
    this.state = 'stopped';
    this.request();
  }

  /** Makes the next round start as soon as the minimum spacing allows. */
  request(): void {
    this.isRequested = true;
    this.endIdleWait?.();
  }

  /** Resolves once a round that starts after this call has ended, or after the timeout, whichever comes first. */
  waitForNextRound(timeout: Micros): Promise<void> {
    this.request();
    return new Promise((resolve) => {
      const timer = this.options.clock.after(timeout, resolve);
      this.waiters.push(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  /**
   * Returns the time until the next round may start; it may be negative. Planning blocks the process, so the spacing
   * leaves a multiple of the planning time for requests of workers and users. It applies even if no request waits.
   */
  private delayUntilNextRound(): Micros {
    const { tuning, shardRound, clock, logWriter } = this.options;
    const spacing = Math.max(tuning.roundGap, shardRound.planningTime * PLANNING_SPACING_FACTOR);
    return Math.max(this.lastRoundAt + spacing - clock.now(), logWriter.appendDelay());
  }

  /** Resolves once a round is requested, or after the maximum idle time. */
  private waitForRequest(): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.options.clock.after(this.options.tuning.roundIdle, finish);
      this.endIdleWait = finish;
      function finish(): void {
        timer.cancel();
        resolve();
      }
    });
  }

  private enter(state: RoundLoopState): void {
    if (!this.isStopped()) this.state = state;
  }

  private isStopped(): boolean {
    return this.state === 'stopped';
  }

  private logFailure(error: unknown): void {
    const text = error instanceof Error ? error.stack : String(error);
    this.options.log.error({ error: text }, 'scheduling round failed');
  }
}
