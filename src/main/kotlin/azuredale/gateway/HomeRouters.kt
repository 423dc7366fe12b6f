package azuredale.gateway

import azuredale.catalog.Catalog
import azuredale.catalog.HomeRegions
import azuredale.identity.FailureDomain
import azuredale.identity.Region

/**
 * Keeps the routers that callers of a host should use, if its routes are confined to regions: those in the caller's own
 * region, and those in a region that all of these routes name. A request body then stays in these regions.
 *
 * @param regionOf the region of a failure domain, null if it is unknown.
 */
internal class HomeRouters(
    private val homes: HomeRegions,
    private val catalog: () -> Catalog?,
    private val regionOf: (FailureDomain) -> Region?,
) {
    /**
     * Returns the [routers] for [caller]. All of them, if none of them lies in such a region: a router elsewhere still
     * answers, and sends requests to servers in the homes only.
     */
    fun <T> keep(routers: List<T>, caller: AddressCaller, domainOf: (T) -> FailureDomain?): List<T> {
        val ofHost = homes.ofHost(catalog()?.routesOf(caller.name).orEmpty()) ?: return routers
        val ofCaller = regionOf(caller.failureDomain)
        return routers
            .filter { router ->
                val region = domainOf(router)?.let(regionOf)
                region != null && (region == ofCaller || region in ofHost)
            }.ifEmpty { routers }
    }
}
