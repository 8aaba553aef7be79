/** Runs commands inside the test process against listeners on loopback and records their output. For tests only. */
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
  type NodeOperations,
} from '#operations';
import { execute } from './index.js';

/** An address at which no server listens. */
export const CLOSED_ADDRESS = '127.0.0.1:1';

/** Status of a node with one role in each state. */
export const ROLE_STATUS: NodeRoleStatus = {
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

/** Status of a node that has detected no data loss. */
export const SERVING_STATUS: NodeDataLossStatus = {
  member: 'node-1',
  dataLoss: { state: 'serving', sinceS: 100, evidence: [], falseAlarms: 0, seen: { revision: 432 } },
};

const DEFAULT_NODE: NodeOperations = {
  roleStatus: () => ROLE_STATUS,
  dataLossStatus: () => SERVING_STATUS,
  snapshot: () => null,
  resign: () => Promise.resolve({ kind: 'handed_over' }),
};

/** Starts an operators' listener for a node and returns its address. The listener is closed after the test. */
export async function startListener(t: TestContext, node: Partial<NodeOperations> = {}): Promise<string> {
  const app = createOperatorApp({ ...DEFAULT_NODE, ...node }, () => undefined);
  const server = await listenForOperators(app, '127.0.0.1:0');
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return addressOf(server);
}

/**
 * Starts a server that sends the same response to every request and returns its address. It is closed after the test.
 */
export async function startFixedResponseServer(
  t: TestContext,
  status: number,
  body: Buffer | string,
): Promise<string> {
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

/** Creates a folder for the files of a test. It is removed after the test. */
export function createTestFolder(t: TestContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'micaworks-output-'));
  t.after(() => {
    rmSync(folder, { recursive: true });
  });
  return folder;
}

/** Replacements for text that differs from run to run, keyed by that text. */
export type Placeholders = Readonly<Record<string, string>>;

/** Runs a command and returns its exit code and its output lines in order; lines on standard error start with `! `. */
export async function run(args: readonly string[], placeholders: Placeholders = {}): Promise<string[]> {
  const lines: string[] = [];
  const code = await execute(
    args,
    (line) => lines.push(...line.split('\n')),
    (line) => lines.push(`! ${line}`),
  );
  const replaceValues = (line: string): string =>
    Object.entries(placeholders).reduce((text, [value, name]) => text.replaceAll(value, name), line);
  return [`exit ${code}`, ...lines.map(replaceValues)];
}
