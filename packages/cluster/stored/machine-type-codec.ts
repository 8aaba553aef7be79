/** Codec of the rows of machine types, which a leader copies from the cloud. */
import { type WireFields, isWireFields, type MachineType } from '#wire';

/** The stored form of a machine type: resources of one machine, prices per hour, and boot time in seconds. */
export interface StoredMachineType {
  name: string;
  cpus: number;
  gpus: number;
  memGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: readonly string[];
}

/** Encodes a machine type. */
export function encodeMachineType(type: MachineType): StoredMachineType {
  return {
    name: type.name,
    cpus: type.cpus,
    gpus: type.gpus,
    memGb: type.memGb,
    cacheGb: type.cacheGb,
    fetchGbPerS: type.fetchGbPerS,
    price: type.price,
    spotPrice: type.spotPrice,
    bootS: type.bootS,
    zones: type.zones,
  };
}

/** Reads a machine type. Missing fields are undefined. */
export function decodeMachineType(stored: StoredMachineType): MachineType {
  return {
    name: stored.name,
    cpus: stored.cpus,
    gpus: stored.gpus,
    memGb: stored.memGb,
    cacheGb: stored.cacheGb,
    fetchGbPerS: stored.fetchGbPerS,
    price: stored.price,
    spotPrice: stored.spotPrice,
    bootS: stored.bootS,
    zones: stored.zones,
  };
}

/**
 * Encodes the row of a machine type. `rowCount`: number of rows of which this is one, if they take several transactions;
 * null otherwise. Older versions ignore it.
 */
export function encodeMachineTypeRow(type: MachineType, rowCount: number | null = null): WireFields {
  const row = { Type: encodeMachineType(type) };
  return rowCount === null ? row : { ...row, Count: rowCount };
}

/** Reads the number of rows that there are to be at least; 1 if the row does not tell. */
export function decodeMachineTypeRowCount(value: WireFields): number {
  return typeof value['Count'] === 'number' ? value['Count'] : 1;
}

/** Reads the row of a machine type. If the row has none, all fields are undefined. */
export function decodeMachineTypeRow(value: WireFields): MachineType {
  const stored: Partial<StoredMachineType> = isWireFields(value['Type']) ? value['Type'] : {};
  return decodeMachineType(stored as StoredMachineType);
}
