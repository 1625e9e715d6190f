/** The users' deployments as runs of real processes: machines, services, traffic and bounds. */

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

/** Time bounds of a deployment, in ms. */
export interface DeploymentBounds {
  readonly ackMs: number;
  readonly applyMs: number;
  readonly drainMs: number;
  readonly graceMs: number;
  readonly contactMs: number;
  readonly lossSlackMs: number;
  readonly catchUpMs: number;
  readonly skewMs: number;
}

/** The processor and the link of a machine. */
export interface MachineSize {
  /** Fraction of a core. */
  readonly cpu: number;
  readonly linkMbps: number;
}

/** A deployment: its machines, services, traffic and the time bounds that must hold. */
export interface DeploymentProfile {
  readonly name: string;
  readonly zones: readonly string[];
  /** Machines with a disk, which replicate the log. */
  readonly members: number;
  /** Machines without a disk. */
  readonly edges: number;
  readonly memberSize: MachineSize;
  readonly edgeSize: MachineSize;
  /** A process whose resident memory exceeds this is killed. */
  readonly memoryMb: number;
  /** Members that may be lost at the same time. */
  readonly tolerated: number;
  /** Retries that are allowed beyond the ratio. */
  readonly retryExtra: number;
  readonly bounds: DeploymentBounds;
  readonly services: readonly DeploymentService[];
  readonly traffic: readonly DeploymentTraffic[];
}

const grownBounds: DeploymentBounds = {
  ackMs: 4000,
  applyMs: 2000,
  drainMs: 2000,
  graceMs: 6000,
  contactMs: 3000,
  lossSlackMs: 200,
  catchUpMs: 6000,
  skewMs: 5000,
};

const kovacicGrown: DeploymentProfile = {
  name: "kovacic-grown",
  zones: ["lj-a", "lj-b", "lj-c", "lj-d", "lj-e"],
  members: 5,
  edges: 67,
  memberSize: { cpu: 0.675, linkMbps: 100 },
  edgeSize: { cpu: 0.27, linkMbps: 2.87 },
  memoryMb: 250,
  tolerated: 2,
  retryExtra: 184,
  bounds: grownBounds,
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
  memberSize: { cpu: 0.675, linkMbps: 100 },
  edgeSize: { cpu: 0.27, linkMbps: 3.57 },
  memoryMb: 250,
  tolerated: 2,
  retryExtra: 184,
  bounds: grownBounds,
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

const pticeVrata: DeploymentProfile = {
  name: "ptice-vrata",
  zones: ["lj-a", "lj-b", "lj-c", "lj-d"],
  members: 4,
  edges: 10,
  memberSize: { cpu: 0.945, linkMbps: 1000 },
  edgeSize: { cpu: 0.54, linkMbps: 1000 },
  memoryMb: 350,
  tolerated: 1,
  retryExtra: 68,
  bounds: { ...grownBounds, ackMs: 5000, catchUpMs: 4000, skewMs: 8000 },
  services: [
    { name: "seznam", backends: 16, capacity: 2 },
    { name: "opazovanja", backends: 8, capacity: 2 },
    { name: "arhiv", backends: 11, capacity: 2 },
  ],
  traffic: [
    {
      name: "checklist-read",
      service: "seznam",
      kind: "safe",
      connections: "pipelined",
      perSecond: 118.6,
      workMs: 120,
      requestBytes: 0,
      responseBytes: 1500,
      targetMs: 400,
      deadlineMs: 1500,
    },
    {
      name: "sighting-submit",
      service: "opazovanja",
      kind: "idempotent",
      connections: "new",
      perSecond: 32.5,
      workMs: 160,
      requestBytes: 1200,
      responseBytes: 5000,
      targetMs: 500,
      deadlineMs: 2000,
    },
    {
      name: "archive-dl",
      service: "arhiv",
      kind: "download",
      connections: "kept",
      perSecond: 14.3,
      workMs: 96,
      requestBytes: 0,
      responseBytes: 90_000,
      targetMs: 400,
      deadlineMs: 1500,
    },
    {
      name: "map-refresh",
      service: "arhiv",
      kind: "safe",
      connections: "kept",
      perSecond: 17.4,
      workMs: 480,
      requestBytes: 0,
      responseBytes: 1500,
      targetMs: 1500,
      deadlineMs: 6000,
    },
  ],
};

/** The profiles by their names. */
export const deploymentProfiles: ReadonlyMap<string, DeploymentProfile> = new Map(
  [kovacicGrown, rastroGrown, pticeVrata].map((profile) => [profile.name, profile]),
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
