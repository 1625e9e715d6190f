import { expect, test } from "vitest";
import { edgePlacementsOf, type EdgePlacement } from "../../src/control-protocol/edge-placement.js";
import type { Backend } from "../../src/load-balancing/backend.js";
import {
  connectionShare,
  ringRanks,
  subsetSizeFor,
} from "../../src/load-balancing/backend-ring.js";
import { LoadBalancer } from "../../src/load-balancing/load-balancer.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";

const zones = ["a", "b", "c"];
const usualSize = 8;

const backend = (at: number): Backend => ({
  address: `10.4.${at % 7}.${at}:8080`,
  number: at + 1,
  zone: zones[at % 3] ?? "",
  instance: `i-${at}`,
  capacity: 3,
  warmth: 1,
  warmMs: 0,
});
const backendsOf = (count: number): Backend[] =>
  Array.from({ length: count }, (_, at) => backend(at));

const placesOf = (count: number): Array<{ zone: string; place: EdgePlacement }> => {
  const machines = Array.from({ length: count }, (_, at) => ({
    name: `edge-${String(at).padStart(3, "0")}`,
    zone: zones[at % 3] ?? "",
    roles: ["edge"],
    draining: false,
  }));
  const places = edgePlacementsOf(machines);
  return machines.flatMap(({ name, zone }) => {
    const place = places.get(name);
    return place ? [{ zone, place }] : [];
  });
};

const subset = (backends: Backend[], zone: string, place: EdgePlacement): string[] =>
  ringRanks(backends, zone, place)
    .slice(0, usualSize)
    .map((rank) => backends[rank]?.address ?? "");

test.each([
  [87, 66],
  [72, 83],
  [200, 121],
  [540, 30],
])(
  "%i daemons use each of %i backends about equally often, and together fewer connections than it bears",
  (daemons, count) => {
    const backends = backendsOf(count);
    const users = new Map<string, number>();
    for (const { zone, place } of placesOf(daemons))
      for (const address of subset(backends, zone, place))
        users.set(address, (users.get(address) ?? 0) + 1);
    const mean = (daemons * usualSize) / count;
    expect(users.size).toBe(count);
    for (const many of users.values())
      expect(Math.abs(many - mean)).toBeLessThanOrEqual(2 + mean / 4);
    const maxConnections = 4 * Math.ceil(mean);
    const sharing = { maxConnections, backendCount: count, daemonCount: daemons };
    const share = connectionShare(sharing);
    expect(subsetSizeFor(sharing)).toBe(usualSize);
    expect(share * Math.max(...users.values())).toBeLessThanOrEqual(maxConnections * 1.25);
    expect(share).toBeGreaterThanOrEqual(1);
  },
);

test("a daemon or a backend that goes changes few of the others' backends", () => {
  const changed = (before: string[], now: string[]): number =>
    before.filter((address) => !now.includes(address)).length;
  const backends = backendsOf(66);
  const without = backends.filter((_, at) => at !== 10);
  const full = placesOf(87);
  const fewer = placesOf(86);
  for (const [at, { zone, place }] of full.entries()) {
    const before = subset(backends, zone, place);
    // The one that goes, and one for each of the two rings that it may stand before.
    expect(changed(before, subset(without, zone, place))).toBeLessThanOrEqual(3);
    const after = fewer[at];
    // Starts move by less than the backends that a daemon of the zone has to itself: one near, two far ones.
    if (after) expect(changed(before, subset(backends, zone, after.place))).toBeLessThanOrEqual(3);
  }
});

const terms = { tried: new Set<string>(), inHandLimit: 200, maxConnections: 66 };

test("a daemon keeps to its subset while that is well, and goes on around the ring when it isn't or is busy", () => {
  const backends = backendsOf(66);
  const [one] = placesOf(87);
  if (!one) throw new Error("There is no daemon.");
  const balancer = new LoadBalancer(one.zone, RandomDraw.of(5));
  balancer.setPlace(one.place);
  const own = subset(backends, one.zone, one.place);
  const picked = new Set<string>();
  for (let nowMs = 0; nowMs < 5000; nowMs += 10) {
    const chosen = balancer.pick(backends, terms, nowMs);
    if (!chosen) throw new Error("Nothing was picked.");
    picked.add(chosen.address);
  }
  expect([...picked].sort()).toEqual([...own].sort());
  const failing = own.slice(0, 4);
  for (const at of backends)
    if (failing.includes(at.address))
      for (let time = 0; time < 6; time += 1) {
        balancer.began(at, 5000);
        balancer.ended(at, { tookMs: 20, isWhole: false, goalMs: 100 }, 5000);
      }
  const later = new Set<string>();
  for (let time = 0; time < 500; time += 1)
    later.add(balancer.pick(backends, terms, 5010)?.address ?? "");
  expect(later.size).toBe(usualSize);
  expect(failing.filter((address) => later.has(address))).toEqual([]);
});

test.each([
  [66, 10, 87],
  [66, 66, 87],
  [150, 28, 540],
  [490, 83, 72],
])(
  "of %i connections that each of %i backends bears, %i daemons take fewer",
  (maxConnections, backendCount, daemonCount) => {
    const backends = backendsOf(backendCount);
    const sharing = { maxConnections, backendCount, daemonCount };
    const taken = new Map<string, number>();
    for (const { zone, place } of placesOf(daemonCount)) {
      const balancer = new LoadBalancer(zone, RandomDraw.of(6));
      balancer.setPlace(place);
      const size = subsetSizeFor(sharing);
      for (let at = 0; at < size * connectionShare(sharing); at += 1) {
        const chosen = balancer.pick(backends, { ...terms, maxConnections }, 0);
        if (!chosen) throw new Error("Nothing was picked.");
        balancer.began(chosen, 0);
        taken.set(chosen.address, (taken.get(chosen.address) ?? 0) + 1);
      }
    }
    expect(Math.max(...taken.values())).toBeLessThanOrEqual(maxConnections);
  },
);
