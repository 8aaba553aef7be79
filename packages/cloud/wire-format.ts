/** Codecs of the requests to the cloud and of its responses. */
import {
  type WireFields,
  isWireFields,
  type ListedMachine,
  type MachineType,
  type ScaleOutRequest,
} from '#wire';

/** Reads the machine types from a response. Returns null if the response has no list of them. */
export function decodeMachineTypes(body: WireFields): MachineType[] | null {
  return decodeMaps(body['Builds'])?.map(decodeMachineType) ?? null;
}

function decodeMachineType(fields: WireFields): MachineType {
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

/** Encodes the body of a scale-out request. */
export function encodeScaleOutRequest({ id, machineType, zone, spot, count }: ScaleOutRequest): WireFields {
  return { Hire: id, Build: machineType, Hall: zone, Loaners: spot, Number: count };
}

/** Reads the hosts of new machines from a response. Returns null if the response has no list of them. */
export function decodeNewHosts(body: WireFields): string[] | null {
  return Array.isArray(body['Hosts']) ? body['Hosts'].map(String) : null;
}

/** Encodes the body of a request to delete machines. */
export function encodeDeleteRequest(hosts: readonly string[]): WireFields {
  return { Hosts: hosts };
}

/** Reads the machines of a page of the machine list. Returns null if the response is not a page. */
export function decodeMachines(body: WireFields): ListedMachine[] | null {
  return decodeMaps(body['Hosts'])?.map(decodeMachine) ?? null;
}

function decodeMachine(fields: WireFields): ListedMachine {
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

function decodeMaps(value: unknown): WireFields[] | null {
  return Array.isArray(value) ? value.filter(isWireFields) : null;
}
