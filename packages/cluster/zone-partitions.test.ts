import assert from 'node:assert/strict';
import { test } from 'node:test';
import { partitionedZonePairs, type ZoneObserver } from './zone-partitions.js';

const member = (name: string, zone = 'east', unreachable: string[] = []): ZoneObserver => ({
  member: name,
  zone,
  unreachable,
});

test('reports a partition that one side publishes, and only between different zones', () => {
  const a = member('a', 'east', ['b', 'c', 'unknown']);
  assert.deepEqual([...partitionedZonePairs([a, member('b', 'west'), member('c', 'east')])], ['east|west']);
});
