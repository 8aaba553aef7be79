/** Set-up of randomized fault runs: jobs that arrive and faults that are injected at random times. */
import { type JobSpec, type Micros, SECOND } from '#wire';
import { injectRandomFault } from './random-faults.js';
import { randomJob } from './random-jobs.js';
import type { SimCluster } from './sim-cluster.js';

/** When the first job of a run arrives. */
const FIRST_ARRIVAL: Micros = SECOND;

/** How jobs arrive. */
export interface JobArrivals {
  /** No job arrives later. */
  readonly until: Micros;
  /** Longest time between two jobs, in seconds. */
  readonly maxGapS: number;
  /** Which jobs are cancelled, and after how many seconds at most; by default none is. */
  readonly cancellation?: { readonly rate: number; readonly withinS: number };
  /** Makes the job with the given number; {@link randomJob} by default. */
  readonly createJob?: (random: () => number, jobNumber: number) => JobSpec;
}

/** How faults are injected. */
export interface FaultSchedule {
  readonly from: Micros;
  /** No fault is injected later. */
  readonly until: Micros;
  /** Shortest time between two faults, and how much longer it can be, in seconds. */
  readonly minGapS: number;
  readonly extraGapS: number;
  /** Whether a fault may be injected now; always by default. */
  readonly isAllowed?: () => boolean;
}

/** Submits random jobs at random times. */
export function submitRandomJobs(cluster: SimCluster, arrivals: JobArrivals): void {
  const { random, clock } = cluster;
  const { cancellation, createJob = randomJob } = arrivals;
  let jobCount = 0;
  const drawCancellation = (): Micros | null =>
    cancellation && random() < cancellation.rate ? random() * cancellation.withinS * SECOND : null;
  const arrive = (): void => {
    if (clock.time > arrivals.until) return;
    cluster.submit(createJob(random, jobCount++), drawCancellation());
    clock.at(random() * arrivals.maxGapS * SECOND, arrive);
  };
  clock.at(FIRST_ARRIVAL, arrive);
}

/** Injects random faults at random times. */
export function scheduleRandomFaults(cluster: SimCluster, schedule: FaultSchedule): void {
  const { random, clock } = cluster;
  const { minGapS, extraGapS, isAllowed = () => true } = schedule;
  const inject = (): void => {
    if (clock.time > schedule.until) return;
    if (isAllowed()) injectRandomFault(cluster);
    clock.at((minGapS + random() * extraGapS) * SECOND, inject);
  };
  clock.at(schedule.from, inject);
}
