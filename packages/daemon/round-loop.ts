/** Runs scheduling rounds one after another, when there is something to do and no more often than planning allows. */
import type { Logger, LogWriter } from '#cluster';
import type { Tuning } from '#settings';
import { type Clock, type Micros, sleep } from '#wire';
import type { RoundPhase, ShardRound } from './shard-round.js';
import type { StateFreshness } from './state-freshness.js';

/** A round starts no sooner after the start of the one before than its planning time by this factor. */
const PLANNING_REST_FACTOR = 4;

/** What the loop is doing. */
type RoundLoopState = 'resting' | RoundPhase | 'leading' | 'stopped';

/** What a {@link RoundLoop} depends on. */
export interface RoundLoopOptions {
  readonly clock: Clock;
  readonly tuning: Tuning;
  readonly log: Logger;
  readonly logWriter: LogWriter;
  readonly freshness: StateFreshness;
  readonly shardRound: ShardRound;
  /** One step of the leader, after each round. Does nothing unless this node leads. */
  readonly stepLeader: (isFresh: boolean) => void;
}

/** The loop of scheduling rounds. A round that fails is logged, and the next one starts as usual. */
export class RoundLoop {
  private state: RoundLoopState = 'resting';
  private isRequested = false;
  private wake: (() => void) | null = null;
  /** Resolved once the next round has ended. */
  private waiters: (() => void)[] = [];
  private lastRoundAt: Micros = -Infinity;

  constructor(private readonly options: RoundLoopOptions) {}

  /** Runs rounds until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped()) {
      const delay = this.delay();
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

  /** Ends {@link run} after the round that is under way or due next. */
  stop(): void {
    this.state = 'stopped';
    this.request();
  }

  /** Makes the next round start as soon as it may. */
  request(): void {
    this.isRequested = true;
    this.wake?.();
  }

  /** Resolves once a round that starts after this call has ended, or after the timeout. */
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
   * Time until the next round may start. Rounds are spaced out before anything is late: a multiple of the planning
   * time is left to workers and users.
   */
  private delay(): Micros {
    const { tuning, shardRound, clock, logWriter } = this.options;
    const spacing = Math.max(tuning.roundGap, shardRound.planningTime * PLANNING_REST_FACTOR);
    return Math.max(this.lastRoundAt + spacing - clock.now(), logWriter.appendDelay());
  }

  /** Resolves once a round is requested, or after the time that a node stays idle at most. */
  private waitForRequest(): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.options.clock.after(this.options.tuning.roundIdle, finish);
      this.wake = finish;
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
