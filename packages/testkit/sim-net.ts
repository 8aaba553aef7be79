/** A simulated network with delays, losses, duplicates and partitions. */
import {
  type HttpClient,
  decode,
  encode,
  type WireFields,
  isWireFields,
  type HttpMethod,
  type Micros,
  MS,
  type HttpReply,
  SECOND,
} from '#wire';
import type { Gate, SimClock } from './sim-clock.js';

/** Answer of a simulated endpoint. */
export interface SimResponse {
  status: number;
  body: unknown;
}
/** Answers now, later, or never (a promise that stays open). */
export type Handler = (
  from: string,
  method: HttpMethod,
  path: string,
  body: unknown,
) => Promise<SimResponse> | SimResponse;

/** Random faults that hold for all messages. */
export interface NetworkFaults {
  /** Chance that a request or an answer is lost or held back. */
  faultRate: number;
  /** How long held requests are held at most. */
  maxDelay: Micros;
  /** Chance that a copy of a worker's report comes late, by up to `copyAfter`. */
  duplicateRate?: number;
  maxDuplicateDelay?: Micros;
}

/**
 * The network between simulated parties: delays, answers that get lost, requests that are carried out long
 * after their sender gave up, and cuts between places.
 */
export class SimNet {
  faults: NetworkFaults = { faultRate: 0, maxDelay: 0 };
  private readonly handlers = new Map<string, { handler: Handler; zone: string | null }>();
  private readonly partitions = new Set<string>();
  /** Zones that reach nothing outside, and whether connections to them are reset at once or just hang. */
  private readonly isolated = new Map<string, 'hold' | 'reset'>();
  /** Parties whose requests arrive while no answer comes back. */
  readonly unansweredParties = new Set<string>();
  /** Links (`from>endpoint`, or `from>` for all) whose requests are held on the way, and what is held. */
  private readonly held = new Map<string, (() => void)[]>();
  /** Connections that are refused: `from>endpoint`. */
  readonly refusedLinks = new Set<string>();
  /** Parties and endpoints that take so many times as long. */
  readonly slowdowns = new Map<string, number>();

  constructor(
    private readonly clock: SimClock,
    private readonly random: () => number,
  ) {}

  serve(endpoint: string, zone: string | null, handler: Handler): void {
    this.handlers.set(endpoint, { handler, zone });
  }

  stopServing(endpoint: string): void {
    this.handlers.delete(endpoint);
  }

  /** Cuts two zones from each other. The region's own services (place null) stay reachable. */
  setPartition(a: string, b: string, on: boolean): void {
    for (const key of [`${a}|${b}`, `${b}|${a}`]) {
      if (on) this.partitions.add(key);
      else this.partitions.delete(key);
    }
  }

  /** Cuts a zone off from everything outside, the region's own services included. */
  isolate(zone: string, mode: 'hold' | 'reset' | null): void {
    if (mode === null) this.isolated.delete(zone);
    else this.isolated.set(zone, mode);
  }

  /**
   * Holds what this party sends, to all or to one endpoint, until {@link release}: its sender has mostly given up by
   * then. So it looks, too, if a process stands still between deciding and sending.
   */
  hold(from: string, endpoint = ''): void {
    const link = `${from}>${endpoint}`;
    if (!this.held.has(link)) this.held.set(link, []);
  }

  /** Delivers what was held, in order; returns how many requests that were. */
  release(from: string, endpoint = ''): number {
    const link = `${from}>${endpoint}`;
    const requests = this.held.get(link) ?? [];
    this.held.delete(link);
    for (const deliver of requests) deliver();
    return requests.length;
  }

  /** A caller for one party; what comes back reaches it through the gate. */
  createClient(from: string, zone: string | null, gate: Gate): HttpClient {
    return (endpoint, method, path, body, timeout) =>
      new Promise<HttpReply>((resolve, reject) => {
        let isFinished = false;
        const finish = (deliverResult: () => void): void => {
          if (isFinished) return;
          isFinished = true;
          gate(deliverResult);
        };
        this.clock.at(timeout, () => {
          finish(() => {
            reject(new Error('timeout'));
          });
        });
        const receivedBody = body === undefined ? undefined : decode(encode(body));
        this.deliver(from, zone, endpoint, method, path, receivedBody, (response) => {
          finish(() => {
            if (!response) reject(new Error('refused'));
            else {
              const answer = decode(encode(response.body));
              resolve({ status: response.status, body: isWireFields(answer) ? answer : ({} as WireFields) });
            }
          });
        });
      });
  }

  private deliver(
    from: string,
    zone: string | null,
    endpoint: string,
    method: HttpMethod,
    path: string,
    body: unknown,
    answer: (response: SimResponse | null) => void,
  ): void {
    const queue = this.held.get(`${from}>`) ?? this.held.get(`${from}>${endpoint}`);
    if (queue) {
      queue.push(() => {
        this.deliver(from, zone, endpoint, method, path, body, answer);
      });
      return;
    }
    const target = this.handlers.get(endpoint);
    if (this.refusedLinks.has(`${from}>${endpoint}`) || this.isReset(zone, target?.zone ?? null)) {
      this.clock.at(this.latency(), () => {
        answer(null);
      });
      return;
    }
    if (this.isPartitioned(zone, target?.zone ?? null)) return;
    this.maybeDuplicate(from, endpoint, method, path, body);
    const slowdown = Math.max(this.slowdowns.get(from) ?? 1, this.slowdowns.get(endpoint) ?? 1);
    const draw = this.random();
    const { faultRate, maxDelay } = this.faults;
    const isRequestLate = draw < faultRate / 3;
    const isResponseLost = !isRequestLate && draw < (2 * faultRate) / 3;
    const isRequestLost = !isRequestLate && !isResponseLost && draw < faultRate;
    if (isRequestLost) return;
    const delay = isRequestLate ? this.random() * maxDelay : this.latency() * slowdown;
    this.clock.at(delay, () => {
      const currentTarget = this.handlers.get(endpoint);
      if (!currentTarget) {
        answer(null);
        return;
      }
      void Promise.resolve(currentTarget.handler(from, method, path, body)).then((response) => {
        if (
          isResponseLost ||
          this.unansweredParties.has(from) ||
          this.isPartitioned(zone, currentTarget.zone)
        )
          return;
        this.clock.at(this.latency() * slowdown, () => {
          answer(response);
        });
      });
    });
  }

  /** A copy of a report comes long after it, whoever has the machine by then; nobody hears the answer. */
  private maybeDuplicate(
    from: string,
    endpoint: string,
    method: HttpMethod,
    path: string,
    body: unknown,
  ): void {
    const { duplicateRate = 0, maxDuplicateDelay = 0 } = this.faults;
    if (path !== '/v1/report' || duplicateRate === 0 || this.random() >= duplicateRate) return;
    this.clock.at(this.random() * maxDuplicateDelay, () => {
      void this.handlers.get(endpoint)?.handler(from, method, path, body);
    });
  }

  private isPartitioned(a: string | null, b: string | null): boolean {
    if (a === b) return false;
    if ((a !== null && this.isolated.has(a)) || (b !== null && this.isolated.has(b))) return true;
    return a !== null && b !== null && this.partitions.has(`${a}|${b}`);
  }

  private isReset(a: string | null, b: string | null): boolean {
    if (a === b) return false;
    return [a, b].some((zone) => zone !== null && this.isolated.get(zone) === 'reset');
  }

  private latency(): Micros {
    return this.random() < 0.02
      ? Math.floor(this.random() * SECOND * 0.3)
      : Math.floor((1 + this.random() * 4) * MS);
  }
}
