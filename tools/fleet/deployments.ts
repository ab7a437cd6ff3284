/**
 * The two deployments of the brief, at today's sizes.
 * @module
 */

/** One service of a deployment. */
export interface ServiceSize {
  readonly service: string;
  readonly endpoints: number;
  /** A route of it that may be repeated, and one that may not. */
  readonly read: string;
  readonly write: string;
}

export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly domains: readonly string[];
  readonly services: readonly ServiceSize[];
  /** Calls that an endpoint runs at once. */
  readonly slots: number;
  readonly connections: number;
}

/** The Caribbean Edge Sharpeners Guild. */
export const GUILD: Deployment = {
  name: "guild",
  region: "jm-south",
  domains: ["jm-south-a", "jm-south-b", "jm-south-c", "jm-south-d"],
  services: [
    { service: "tracker", endpoints: 4, read: "/parcels", write: "/parcels" },
    { service: "bookings", endpoints: 4, read: "/jobs", write: "/payments" },
    { service: "intake", endpoints: 4, read: "/photos", write: "/photos" },
  ],
  slots: 6,
  connections: 100,
};

/** Veldhuis Hosting. */
export const VELDHUIS: Deployment = {
  name: "veldhuis",
  region: "nl-west",
  domains: ["nl-west-a", "nl-west-b", "nl-west-c"],
  services: [
    { service: "portaal", endpoints: 6, read: "/accounts", write: "/renewals" },
    {
      service: "facturatie",
      endpoints: 4,
      read: "/invoices",
      write: "/payments",
    },
    { service: "opslag", endpoints: 3, read: "/archives", write: "/archives" },
  ],
  slots: 20,
  connections: 130,
};

export const deployments: readonly Deployment[] = [GUILD, VELDHUIS];
