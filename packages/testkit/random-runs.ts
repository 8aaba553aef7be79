/** Set-up of randomized fault runs: jobs that arrive and faults that are injected at random times. */
import { type JobSpec, type Micros, SECOND } from '#wire';
import { injectRandomFault } from './random-faults.js';
import { randomJob } from './random-jobs.js';
import type { SimCluster } from './sim-cluster.js';

/** Arrival time of the first job of a run. */
const FIRST_ARRIVAL: Micros = SECOND;

/** Arrival of random jobs. */
export interface JobArrivals {
  /** No job arrives after this time. */
  readonly until: Micros;
  /** Longest time between two jobs, in seconds. */
  readonly maxGapS: number;
  /** Fraction of the jobs that are cancelled, and the longest time until then in seconds. By default none is cancelled. */
  readonly cancellation?: { readonly rate: number; readonly withinS: number };
  /** Creates the job with the given number; {@link randomJob} by default. */
  readonly createJob?: (random: () => number, jobNumber: number) => JobSpec;
}

/** Times at which random faults are injected. */
export interface FaultSchedule {
  readonly from: Micros;
  /** No fault is injected after this time. */
  readonly until: Micros;
  /** Shortest time between two faults, in seconds. */
  readonly minGapS: number;
  /** Longest random addition to the shortest time, in seconds. */
  readonly extraGapS: number;
  /** Returns true if a fault may be injected now; always true by default. */
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
