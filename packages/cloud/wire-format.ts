/** Requests and answers of the cloud in its own words. */
import { type Fields, isFields, type ListedMachine, type MachineType, type RentalRequest } from '#wire';

/** The machine types that an answer lists; null if it lists none. */
export function decodeMachineTypes(body: Fields): MachineType[] | null {
  return listOf(body['Builds'])?.map(decodeMachineType) ?? null;
}

function decodeMachineType(fields: Fields): MachineType {
  return {
    name: String(fields['Sku']),
    cpus: Number(fields['Cpus']),
    gpus: Number(fields['Gpus']),
    memGb: Number(fields['MemGb']),
    cacheGb: Number(fields['CacheGb']),
    fetchGbPerS: Number(fields['FetchGbPerS']),
    price: Number(fields['Price']),
    spotPrice: Number(fields['LowPrice']),
    bootS: Number(fields['BootS']),
    zones: Array.isArray(fields['Halls']) ? fields['Halls'].map(String) : [],
  };
}

/** The body of a request for machines. */
export function encodeScaleOutRequest({ id, machineType, zone, spot, count }: RentalRequest): Fields {
  return { Hire: id, Build: machineType, Hall: zone, Loaners: spot, Number: count };
}

/** The hosts of the machines that were rented; null if the answer names none. */
export function decodeNewHosts(body: Fields): string[] | null {
  return Array.isArray(body['Hosts']) ? body['Hosts'].map(String) : null;
}

/** The body of a request to delete machines. */
export function encodeDeletion(hosts: readonly string[]): Fields {
  return { Hosts: hosts };
}

/** The machines of a page; null if the answer is no page. */
export function decodeMachines(body: Fields): ListedMachine[] | null {
  return listOf(body['Hosts'])?.map(decodeMachine) ?? null;
}

function decodeMachine(fields: Fields): ListedMachine {
  return {
    host: String(fields['Uid']),
    address: String(fields['Endpoint']),
    machineType: String(fields['Build']),
    zone: String(fields['Hall']),
    spot: fields['Loaners'] === true,
    state: fields['Status'] as ListedMachine['state'],
    ageS: Number(fields['AgeS']),
  };
}

function listOf(value: unknown): Fields[] | null {
  return Array.isArray(value) ? value.filter(isFields) : null;
}
