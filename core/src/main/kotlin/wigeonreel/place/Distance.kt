package wigeonreel.place

/** Network distance between two VMs, nearest first. */
enum class Distance { SAME_FAILURE_DOMAIN, SAME_REGION, OTHER_REGION }
