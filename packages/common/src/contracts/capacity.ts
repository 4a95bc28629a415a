/** What is known of the capacity of a service and of its use by the whole fleet. */
export interface ServiceRoom {
  /** Targets that may get requests; a slow or probably failing one counts in part. */
  readonly targets: number
  /** Slots of these targets, counted in the same way. */
  readonly slots: number
  /** Requests in progress at these targets, waiting ones included, counted in the same way. */
  readonly inProgress: number
  /** Expected time to serve a request once a slot is free. */
  readonly serviceTimeMs: number
  /** Share of recent requests that the targets refused, 0 to 1. */
  readonly refusalShare: number
}

/** Tells what is known of the capacity of services. */
export interface CapacityView {
  readonly roomOf: (service: string) => ServiceRoom
}
