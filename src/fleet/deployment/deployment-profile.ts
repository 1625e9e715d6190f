/** The users' grown deployments as runs of real processes: machines, services, traffic and bounds. */

/** How the clients of a kind of request use their connections. */
export type ConnectionUse = "pipelined" | "kept" | "new";

/** The kinds of routes that the platform's configurations have. */
export type RequestKind = "safe" | "idempotent" | "download";

/** A service and its backends. */
export interface DeploymentService {
  readonly name: string;
  readonly backends: number;
  /** Requests that a backend works on at the same time; it queues four times as many. */
  readonly capacity: number;
}

/** One kind of request. */
export interface DeploymentTraffic {
  readonly name: string;
  readonly service: string;
  readonly kind: RequestKind;
  readonly connections: ConnectionUse;
  readonly perSecond: number;
  readonly workMs: number;
  readonly requestBytes: number;
  readonly responseBytes: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
}

/** A deployment: its machines, services, traffic and the time bounds that must hold. */
export interface DeploymentProfile {
  readonly name: string;
  readonly zones: readonly string[];
  /** Machines with a disk, which replicate the log. */
  readonly members: number;
  /** Machines without a disk. */
  readonly edges: number;
  readonly edgeLinkMbps: number;
  readonly services: readonly DeploymentService[];
  readonly traffic: readonly DeploymentTraffic[];
}

/** Time bounds of both deployments, in ms. */
export const deploymentBounds = {
  ackMs: 4000,
  applyMs: 2000,
  drainMs: 2000,
  graceMs: 6000,
  contactMs: 3000,
  lossSlackMs: 200,
} as const;

const kovacicGrown: DeploymentProfile = {
  name: "kovacic-grown",
  zones: ["lj-a", "lj-b", "lj-c", "lj-d", "lj-e"],
  members: 5,
  edges: 67,
  edgeLinkMbps: 2.87,
  services: [
    { name: "seznam", backends: 83, capacity: 2 },
    { name: "opazovanja", backends: 29, capacity: 2 },
    { name: "arhiv", backends: 57, capacity: 2 },
  ],
  traffic: [
    {
      name: "checklist-read",
      service: "seznam",
      kind: "safe",
      connections: "pipelined",
      perSecond: 709,
      workMs: 120,
      requestBytes: 0,
      responseBytes: 1500,
      targetMs: 717,
      deadlineMs: 2986,
    },
    {
      name: "sighting-submit",
      service: "opazovanja",
      kind: "idempotent",
      connections: "new",
      perSecond: 194,
      workMs: 158,
      requestBytes: 1200,
      responseBytes: 5000,
      targetMs: 928,
      deadlineMs: 3482,
    },
    {
      name: "archive-dl",
      service: "arhiv",
      kind: "download",
      connections: "kept",
      perSecond: 85.8,
      workMs: 96,
      requestBytes: 0,
      responseBytes: 90_000,
      targetMs: 1540,
      deadlineMs: 5127,
    },
    {
      name: "map-refresh",
      service: "arhiv",
      kind: "safe",
      connections: "kept",
      perSecond: 104,
      workMs: 483,
      requestBytes: 0,
      responseBytes: 1500,
      targetMs: 1625,
      deadlineMs: 6464,
    },
  ],
};

const rastroGrown: DeploymentProfile = {
  name: "rastro-grown",
  zones: ["scl-a", "scl-b", "scl-c"],
  members: 6,
  edges: 81,
  edgeLinkMbps: 3.57,
  services: [
    { name: "visor", backends: 66, capacity: 3 },
    { name: "triaje", backends: 32, capacity: 3 },
    { name: "bodega", backends: 67, capacity: 3 },
  ],
  traffic: [
    {
      name: "issue-read",
      service: "visor",
      kind: "safe",
      connections: "pipelined",
      perSecond: 802,
      workMs: 129,
      requestBytes: 0,
      responseBytes: 1500,
      targetMs: 701,
      deadlineMs: 2920,
    },
    {
      name: "triage-write",
      service: "triaje",
      kind: "idempotent",
      connections: "new",
      perSecond: 297,
      workMs: 169,
      requestBytes: 1200,
      responseBytes: 5000,
      targetMs: 892,
      deadlineMs: 3346,
    },
    {
      name: "archive-pull",
      service: "bodega",
      kind: "download",
      connections: "kept",
      perSecond: 123,
      workMs: 100,
      requestBytes: 0,
      responseBytes: 90_000,
      targetMs: 1272,
      deadlineMs: 5089,
    },
    {
      name: "sync-read",
      service: "bodega",
      kind: "safe",
      connections: "kept",
      perSecond: 178,
      workMs: 508,
      requestBytes: 0,
      responseBytes: 1500,
      targetMs: 1592,
      deadlineMs: 6366,
    },
  ],
};

/** The profiles by their names. */
export const deploymentProfiles: ReadonlyMap<string, DeploymentProfile> = new Map(
  [kovacicGrown, rastroGrown].map((profile) => [profile.name, profile]),
);

/** A deployment with the given number of machines, the members included; its traffic and services shrink with the edges. */
export const withMachines = (profile: DeploymentProfile, machines: number): DeploymentProfile => {
  const edges = Math.max(1, machines - profile.members);
  const factor = edges / profile.edges;
  return {
    ...profile,
    edges,
    services: profile.services.map((service) => ({
      ...service,
      backends: Math.max(2, Math.round(service.backends * factor)),
    })),
    traffic: profile.traffic.map((traffic) => ({
      ...traffic,
      perSecond: traffic.perSecond * factor,
    })),
  };
};
