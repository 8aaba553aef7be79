/** Runs commands in the process of a test against listeners on loopback, and keeps what they print. For tests only. */
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TestContext } from 'node:test';
import {
  createOperatorApp,
  listenForOperators,
  type NodeRoleStatus,
  type NodeDataLossStatus,
  type OperatedNode,
} from '#operations';
import { execute } from './index.js';

/** Nothing listens there. */
export const CLOSED = '127.0.0.1:1';

/** A node that knows of roles in every state. */
export const DUTIES: NodeRoleStatus = {
  member: 'node-1',
  membership: 'member',
  knowledgeAgeS: 0.4,
  roles: [
    {
      roleName: 'lead',
      state: 'held',
      holder: 'node-1',
      term: 41,
      sinceS: 12.5,
      leaseLeftS: 2.4,
      openIntents: { scaleOutRequests: ['hire-1-41-1'], scaleInHosts: ['n-000003', 'n-000004'] },
      lastRefused: { action: 'deal shares', reason: 'the duty has changed hands', term: 38, ageS: 90 },
    },
    {
      roleName: 'share/0',
      state: 'held',
      holder: 'node-2',
      term: 40,
      sinceS: 3,
      leaseLeftS: null,
      openIntents: null,
      lastRefused: null,
    },
    {
      roleName: 'share/1',
      state: 'vacant',
      holder: null,
      term: null,
      sinceS: 0,
      leaseLeftS: null,
      openIntents: null,
      lastRefused: null,
    },
    {
      roleName: 'share/2',
      state: 'acquiring',
      holder: null,
      term: null,
      sinceS: 0.1,
      leaseLeftS: null,
      openIntents: null,
      lastRefused: null,
    },
    {
      roleName: 'share/3',
      state: 'suspected',
      holder: 'node-1',
      term: 37,
      sinceS: 1.2,
      leaseLeftS: 0.3,
      openIntents: null,
      lastRefused: null,
    },
    {
      roleName: 'share/4',
      state: 'lost',
      holder: null,
      term: 36,
      sinceS: 100,
      leaseLeftS: null,
      openIntents: null,
      lastRefused: null,
    },
    {
      roleName: 'share/5',
      state: 'resigning',
      holder: 'node-1',
      term: 35,
      sinceS: 0.7,
      leaseLeftS: 2.4,
      openIntents: null,
      lastRefused: null,
    },
  ],
};

/** A node without data loss. */
export const SERVING: NodeDataLossStatus = {
  member: 'node-1',
  dataLoss: { state: 'serving', sinceS: 100, evidence: [], falseAlarms: 0, seen: { revision: 432 } },
};

const NODE: OperatedNode = {
  roleStatus: () => DUTIES,
  dataLossStatus: () => SERVING,
  snapshot: () => null,
  resign: () => Promise.resolve({ kind: 'handed_over' }),
};

/** The address of a listener over a node, which ends with the test. */
export async function listen(t: TestContext, node: Partial<OperatedNode> = {}): Promise<string> {
  const app = createOperatorApp({ ...NODE, ...node }, () => undefined);
  const server = await listenForOperators(app, '127.0.0.1:0');
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return addressOf(server);
}

/** The address of a server that gives each request the same answer, which ends with the test. */
export async function answerAlways(t: TestContext, status: number, body: Buffer | string): Promise<string> {
  const server = createServer((_request, response) => {
    response.statusCode = status;
    response.end(body);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return addressOf(server);
}

function addressOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A folder for the files of a test, which ends with it. */
export function folderFor(t: TestContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'micaworks-output-'));
  t.after(() => {
    rmSync(folder, { recursive: true });
  });
  return folder;
}

/** What stands for text that differs from run to run. */
export type Names = Readonly<Record<string, string>>;

/** Runs a command: its exit code, then what it printed, then its errors after `! `. */
export async function run(args: readonly string[], names: Names = {}): Promise<string[]> {
  const lines: string[] = [];
  const code = await execute(
    args,
    (line) => lines.push(...line.split('\n')),
    (line) => lines.push(`! ${line}`),
  );
  const named = (line: string): string =>
    Object.entries(names).reduce((text, [value, name]) => text.replaceAll(value, name), line);
  return [`exit ${code}`, ...lines.map(named)];
}
