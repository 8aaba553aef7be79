/** Rows of machine types, as a leader last read them from the cloud. */
import { type WireFields, isWireFields, type MachineType } from '#wire';

/** A machine type: resources of one machine, prices an hour, boot time in seconds. */
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

/** The stored form of a machine type. */
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

/** Reads the stored form; fields that are missing stay undefined. */
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

/** The row of a machine type. */
export function encodeMachineTypeRow(type: MachineType): WireFields {
  return { Type: encodeMachineType(type) };
}

/** Reads the row of a machine type. */
export function decodeMachineTypeRow(value: WireFields): MachineType {
  const stored: Partial<StoredMachineType> = isWireFields(value['Type']) ? value['Type'] : {};
  return decodeMachineType(stored as StoredMachineType);
}
