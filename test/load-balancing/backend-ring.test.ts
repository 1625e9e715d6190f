import { expect, test } from "vitest";
import {
  computeEdgePlacements,
  type EdgePlacement,
} from "../../src/control-protocol/edge-placement.js";
import type { Backend } from "../../src/load-balancing/backend.js";
import {
  computeConnectionLimit,
  computeRingOrder,
  computeSubsetSize,
} from "../../src/load-balancing/backend-ring.js";
import { LoadBalancer, type PickOptions } from "../../src/load-balancing/load-balancer.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";

const zones = ["a", "b", "c"];
const subsetSize = 8;

const createBackend = (index: number): Backend => ({
  address: `10.4.${index % 7}.${index}:8080`,
  number: index + 1,
  zone: zones[index % 3] ?? "",
  instance: `i-${index}`,
  capacity: 3,
  warmth: 1,
  warmMs: 0,
});
const createBackends = (count: number): Backend[] =>
  Array.from({ length: count }, (_, index) => createBackend(index));

const createDaemons = (count: number): Array<{ zone: string; placement: EdgePlacement }> => {
  const machines = Array.from({ length: count }, (_, index) => ({
    name: `edge-${String(index).padStart(3, "0")}`,
    zone: zones[index % 3] ?? "",
    roles: ["edge"],
    draining: false,
  }));
  const placements = computeEdgePlacements(machines);
  return machines.flatMap(({ name, zone }) => {
    const placement = placements.get(name);
    return placement ? [{ zone, placement }] : [];
  });
};

const selectSubset = (backends: Backend[], zone: string, placement: EdgePlacement): string[] =>
  computeRingOrder(backends, zone, placement)
    .slice(0, subsetSize)
    .map((index) => backends[index]?.address ?? "");

test.each([
  [87, 66],
  [72, 83],
  [200, 121],
  [540, 30],
])(
  "%i daemons use each of %i backends about equally often, and together fewer connections than it accepts",
  (daemons, count) => {
    const backends = createBackends(count);
    const users = new Map<string, number>();
    for (const { zone, placement } of createDaemons(daemons))
      for (const address of selectSubset(backends, zone, placement))
        users.set(address, (users.get(address) ?? 0) + 1);
    const mean = (daemons * subsetSize) / count;
    expect(users.size).toBe(count);
    for (const many of users.values())
      expect(Math.abs(many - mean)).toBeLessThanOrEqual(2 + mean / 4);
    const maxConnections = 4 * Math.ceil(mean);
    const sharing = { maxConnections, backendCount: count, daemonCount: daemons };
    const limit = computeConnectionLimit(sharing);
    expect(computeSubsetSize(sharing)).toBe(subsetSize);
    expect(limit * Math.max(...users.values())).toBeLessThanOrEqual(maxConnections * 1.25);
    expect(limit).toBeGreaterThanOrEqual(1);
  },
);

test("removing a daemon or a backend changes few of the backends that the others use", () => {
  const changed = (before: string[], now: string[]): number =>
    before.filter((address) => !now.includes(address)).length;
  const backends = createBackends(66);
  const without = backends.filter((_, index) => index !== 10);
  const full = createDaemons(87);
  const fewer = createDaemons(86);
  for (const [index, { zone, placement }] of full.entries()) {
    const before = selectSubset(backends, zone, placement);
    // The one that is removed, and one for each of the two rings that it may precede.
    expect(changed(before, selectSubset(without, zone, placement))).toBeLessThanOrEqual(3);
    const after = fewer[index];
    // Starts move by less than the number of backends per daemon of the zone: one local, two remote ones.
    if (after)
      expect(changed(before, selectSubset(backends, zone, after.placement))).toBeLessThanOrEqual(3);
  }
});

const pickOptions: PickOptions = {
  triedAddresses: new Set<string>(),
  maxInFlight: 200,
  maxConnections: 66,
};

test("a daemon uses its subset while that is healthy, and the next backends of the ring in place of failing ones", () => {
  const backends = createBackends(66);
  const [daemon] = createDaemons(87);
  if (!daemon) throw new Error("There is no daemon.");
  const balancer = new LoadBalancer(daemon.zone, RandomDraw.of(5));
  balancer.setPlacement(daemon.placement);
  const own = selectSubset(backends, daemon.zone, daemon.placement);
  const picked = new Set<string>();
  for (let nowMs = 0; nowMs < 5000; nowMs += 10) {
    const chosen = balancer.pick(backends, pickOptions, nowMs);
    if (!chosen) throw new Error("Nothing was picked.");
    picked.add(chosen.address);
  }
  expect([...picked].sort()).toEqual([...own].sort());
  const failing = own.slice(0, 4);
  for (const one of backends)
    if (failing.includes(one.address))
      for (let time = 0; time < 6; time += 1) {
        balancer.attemptStarted(one, 5000);
        balancer.attemptEnded(
          one,
          { latencyMs: 20, isComplete: false, latencyTargetMs: 100 },
          5000,
        );
      }
  const later = new Set<string>();
  for (let time = 0; time < 500; time += 1)
    later.add(balancer.pick(backends, pickOptions, 5010)?.address ?? "");
  expect(later.size).toBe(subsetSize);
  expect(failing.filter((address) => later.has(address))).toEqual([]);
});

test.each([
  [66, 10, 87],
  [66, 66, 87],
  [150, 28, 540],
  [490, 83, 72],
])(
  "of %i connections that each of %i backends accepts, %i daemons open no more",
  (maxConnections, backendCount, daemonCount) => {
    const backends = createBackends(backendCount);
    const sharing = { maxConnections, backendCount, daemonCount };
    const taken = new Map<string, number>();
    for (const { zone, placement } of createDaemons(daemonCount)) {
      const balancer = new LoadBalancer(zone, RandomDraw.of(6));
      balancer.setPlacement(placement);
      const size = computeSubsetSize(sharing);
      for (let count = 0; count < size * computeConnectionLimit(sharing); count += 1) {
        const chosen = balancer.pick(backends, { ...pickOptions, maxConnections }, 0);
        if (!chosen) throw new Error("Nothing was picked.");
        balancer.attemptStarted(chosen, 0);
        taken.set(chosen.address, (taken.get(chosen.address) ?? 0) + 1);
      }
    }
    expect(Math.max(...taken.values())).toBeLessThanOrEqual(maxConnections);
  },
);
