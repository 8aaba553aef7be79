/** A simulated network with delays, message loss, duplicates and partitions. */
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

/** Response of a simulated endpoint. */
export interface SimResponse {
  status: number;
  body: unknown;
}
/** Handles a request. The response may come at once, later, or never (a promise that stays pending). */
export type Handler = (
  from: string,
  method: HttpMethod,
  path: string,
  body: unknown,
) => Promise<SimResponse> | SimResponse;

/** Random faults that apply to all messages. */
export interface NetworkFaults {
  /** Probability that a request is delayed, its response is lost, or the request is lost, with one third each. */
  faultRate: number;
  /** Longest delay of a delayed request. */
  maxDelay: Micros;
  /** Probability that a copy of a worker's heartbeat arrives later. */
  duplicateRate?: number;
  /** Longest delay of such a copy. */
  maxDuplicateDelay?: Micros;
}

/**
 * The network between simulated parties (nodes, workers, users, state service and cloud). Messages are delayed,
 * responses are lost, requests arrive long after their sender timed out, and zones are partitioned from each other.
 */
export class SimNet {
  faults: NetworkFaults = { faultRate: 0, maxDelay: 0 };
  /** Keyed by endpoint. The zone is null for services of the whole region. */
  private readonly handlers = new Map<string, { handler: Handler; zone: string | null }>();
  /** Pairs `zone|zone` between which no message passes. */
  private readonly partitions = new Set<string>();
  /** Isolated zones, and whether connections into and out of them hang or are reset at once. */
  private readonly isolated = new Map<string, 'hold' | 'reset'>();
  /** Parties whose requests arrive while every response to them is lost. */
  readonly unansweredParties = new Set<string>();
  /** Requests held in transit. Keyed by link: `from>endpoint`, or `from>` for all endpoints. */
  private readonly held = new Map<string, (() => void)[]>();
  /** Links (`from>endpoint`) whose connections are refused. */
  readonly refusedLinks = new Set<string>();
  /** Factor by which messages are slower. Keyed by party or endpoint. */
  readonly slowdowns = new Map<string, number>();

  constructor(
    private readonly clock: SimClock,
    private readonly random: () => number,
  ) {}

  /** Serves requests at an endpoint; the zone is null for a service of the whole region. */
  serve(endpoint: string, zone: string | null, handler: Handler): void {
    this.handlers.set(endpoint, { handler, zone });
  }

  /** Makes an endpoint refuse connections. */
  stopServing(endpoint: string): void {
    this.handlers.delete(endpoint);
  }

  /** Starts or ends a partition between two zones. The services of the region (zone null) stay reachable. */
  setPartition(zoneA: string, zoneB: string, isPartitioned: boolean): void {
    for (const key of [`${zoneA}|${zoneB}`, `${zoneB}|${zoneA}`]) {
      if (isPartitioned) this.partitions.add(key);
      else this.partitions.delete(key);
    }
  }

  /** Isolates a zone from everything outside it, including the services of the region; null ends the isolation. */
  isolate(zone: string, mode: 'hold' | 'reset' | null): void {
    if (mode === null) this.isolated.delete(zone);
    else this.isolated.set(zone, mode);
  }

  /**
   * Holds the requests of a party, to all or to one endpoint, until {@link release}; by then most senders have timed
   * out. A process that is suspended between a decision and its request has the same effect.
   */
  hold(from: string, endpoint = ''): void {
    const link = `${from}>${endpoint}`;
    if (!this.held.has(link)) this.held.set(link, []);
  }

  /** Delivers the held requests in order and returns their number. */
  release(from: string, endpoint = ''): number {
    const link = `${from}>${endpoint}`;
    const requests = this.held.get(link) ?? [];
    this.held.delete(link);
    for (const deliver of requests) deliver();
    return requests.length;
  }

  /** Creates the HTTP client of one party; responses and timeouts reach it through the gate. */
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
              const responseBody = decode(encode(response.body));
              resolve({
                status: response.status,
                body: isWireFields(responseBody) ? responseBody : ({} as WireFields),
              });
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
    respond: (response: SimResponse | null) => void,
  ): void {
    const queue = this.held.get(`${from}>`) ?? this.held.get(`${from}>${endpoint}`);
    if (queue) {
      queue.push(() => {
        this.deliver(from, zone, endpoint, method, path, body, respond);
      });
      return;
    }
    const target = this.handlers.get(endpoint);
    if (this.refusedLinks.has(`${from}>${endpoint}`) || this.isReset(zone, target?.zone ?? null)) {
      this.clock.at(this.latency(), () => {
        respond(null);
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
        respond(null);
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
          respond(response);
        });
      });
    });
  }

  /** Delivers a late copy of a random heartbeat, even if another node owns the machine by then; drops the response. */
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

  /** True if no message passes between two zones. */
  private isPartitioned(a: string | null, b: string | null): boolean {
    if (a === b) return false;
    if ((a !== null && this.isolated.has(a)) || (b !== null && this.isolated.has(b))) return true;
    return a !== null && b !== null && this.partitions.has(`${a}|${b}`);
  }

  /** True if a connection between two zones is reset at once. */
  private isReset(a: string | null, b: string | null): boolean {
    if (a === b) return false;
    return [a, b].some((zone) => zone !== null && this.isolated.get(zone) === 'reset');
  }

  /** Returns a random latency: 1 to 5 ms, and up to 300 ms for 2% of the messages. */
  private latency(): Micros {
    return this.random() < 0.02
      ? Math.floor(this.random() * SECOND * 0.3)
      : Math.floor((1 + this.random() * 4) * MS);
  }
}
