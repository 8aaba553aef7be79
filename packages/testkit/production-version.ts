/**
 * The controller as the version in production has it, to be run side by side with the present one. Its code lies under
 * `fixtures/` as that version's own build made it; see `fixtures/README.md`.
 */
import type { Controller } from '#daemon';

const FIXTURE = new URL('../../packages/testkit/fixtures/production-version.mjs', import.meta.url);

/** What both versions have in common: the parts they are made of, and what a world asks of a node. */
export interface ProductionVersion {
  Controller: typeof Controller;
}

export async function loadProductionVersion(): Promise<ProductionVersion> {
  return (await import(FIXTURE.href)) as ProductionVersion;
}
